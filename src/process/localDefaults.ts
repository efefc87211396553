/** Options and defaults of a local cluster. */
import type { LineSink } from './logger.js';

/** Options of a local cluster. */
export interface LocalOptions {
  readonly entries: number;
  readonly agents: number;
  readonly slots: number;
  readonly connections: number;
  /** HTTP port of the first entry; 0 for any free one. */
  readonly port: number;
  readonly logLevel: string;
  readonly sink?: LineSink;
  /** Settings of the entries that override the defaults. */
  readonly entrySettings?: Readonly<Record<string, unknown>>;
  /** Settings of the agents that override the defaults. */
  readonly agentSettings?: Readonly<Record<string, unknown>>;
}

/** Default options of a local cluster. */
export const DEFAULT_LOCAL: LocalOptions = {
  entries: 1,
  agents: 11,
  slots: 8,
  connections: 64,
  port: 7420,
  logLevel: 'warn',
};

/** Shared secret of a local cluster, which listens only on loopback. */
export const LOCAL_SECRET = 'local-secret';
/** Command that declares the default event. */
export const OPENING_COMMAND =
  'declare event opening start now services exchange kinds ' +
  'quote(service = exchange, priority = 0, deadline = 5s, repeatable = yes, expected = 100ms), ' +
  'certificate(service = exchange, priority = 1, deadline = 10s, repeatable = yes, expected = 300ms), ' +
  'reservation(service = exchange, priority = 2, deadline = 20s, repeatable = no, expected = 500ms)';
