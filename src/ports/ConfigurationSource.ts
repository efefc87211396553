/** Port: source of the operators' records: the configuration, and which failure domains are emptied. */
import type { Finding } from '../_lib/finding.js';
import type { Configuration } from '../version/configuration.js';
import type { DomainChange, EmptiedDomains } from '../version/emptiedDomains.js';

/** Subject of findings; `record`: a record whose subject cannot be determined. */
export type FindingSubject = 'configuration' | 'evacuation' | 'record';

/** Receives the records of a source. */
export interface ConfigurationListener {
  /** A configuration was read; it may be older than the current one. */
  readonly adopt: (configuration: Configuration) => void;
  /** The list of emptied failure domains was read; it may be older than the current one. */
  readonly adoptEmptied: (emptied: EmptiedDomains) => void;
  /** A failure domain was emptied or released again; the record may be older than the current list. */
  readonly changeDomain: (change: DomainChange) => void;
  /**
   * A configuration, some of its routes, an evacuation or a record is invalid; the previous one stays in
   * force.
   */
  readonly reportFindings: (subject: FindingSubject, findings: readonly Finding[]) => void;
  /** The source became unreachable or reachable again. */
  readonly reportState: (state: 'reachable' | 'unreachable', detail: string) => void;
}

/** Reads the operators' records and follows their changes until it is stopped. */
export abstract class ConfigurationSource {
  abstract start(listener: ConfigurationListener): void;
  abstract stop(): void;
}
