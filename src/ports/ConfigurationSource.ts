/** Port: where the operators' word comes from: their configuration, and which failure domains are emptied. */
import type { Finding } from '../_lib/finding.js';
import type { Configuration } from '../version/configuration.js';
import type { DomainChange, EmptiedDomains } from '../version/emptiedDomains.js';

/** What the operators write about; `record`: something that cannot be told. */
export type FindingSubject = 'configuration' | 'evacuation' | 'record';

/** Takes what the source says. */
export interface ConfigurationListener {
  /** A configuration was read; it may be older than one already known. */
  readonly adopt: (configuration: Configuration) => void;
  /** All emptied failure domains were read; the list may be older than one already known. */
  readonly adoptEmptied: (emptied: EmptiedDomains) => void;
  /** A failure domain was emptied or taken back; the record may be older than what is known. */
  readonly changeDomain: (change: DomainChange) => void;
  /** A configuration, some of its routes, an evacuation or a record could not be read; what was in force stays. */
  readonly reportFindings: (subject: FindingSubject, findings: readonly Finding[]) => void;
  /** The source was lost or found again. */
  readonly reportState: (state: 'reachable' | 'unreachable', detail: string) => void;
}

/** Follows the operators' word for the life of the process. */
export abstract class ConfigurationSource {
  abstract start(listener: ConfigurationListener): void;
  abstract stop(): void;
}
