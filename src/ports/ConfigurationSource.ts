/** Port: where the operators' configuration comes from. */
import type { Finding } from '../_lib/finding.js';
import type { Configuration } from '../version/configuration.js';

/** Takes what the source says. */
export interface ConfigurationListener {
  /** A configuration was read; it may be older than one already known. */
  readonly adopt: (configuration: Configuration) => void;
  /** A configuration, or some of its routes, could not be read; what was in force stays. */
  readonly noteFindings: (findings: readonly Finding[]) => void;
  /** The source was lost or found again. */
  readonly note: (state: 'reachable' | 'unreachable', detail: string) => void;
}

/** Follows the configuration for the life of the process. */
export abstract class ConfigurationSource {
  abstract start(listener: ConfigurationListener): void;
  abstract stop(): void;
}
