import type { ConfigState } from '../version/configState.js';
import type { LogRecord } from '../version/logRecord.js';

/**
 * Proposes a snapshot when one is due. The offset selects the entry that appends it, so that usually only one
 * does; a second snapshot is harmless.
 *
 * @param config - the configuration
 * @param peer - this entry
 * @param every - records between two snapshots
 * @returns the record, or undefined if no snapshot is due or another entry is selected
 * @example
 * proposeSnapshot(createConfigState(), 'entry-1@a', 100); // undefined
 */
export function proposeSnapshot(config: ConfigState, peer: string, every: number): LogRecord | undefined {
  const { offset, entries } = config;
  if (offset < every || offset % every !== 0) return undefined;
  const turn = entries[(offset / every) % Math.max(1, entries.length)];
  if (turn?.peer !== peer) return undefined;
  return { type: 'snapshot', id: `snapshot:${offset}`, state: config };
}
