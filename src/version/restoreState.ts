import { applyRecord } from './applyRecord.js';
import { createConfigState } from './configState.js';
import type { ConfigState } from './configState.js';
import type { LogEntry } from './logRecord.js';

/**
 * Restores the configuration from the retained records: the newest snapshot without a gap to the first retained
 * record, and all records after the snapshot's offset.
 *
 * @param entries - all retained records in offset order
 * @returns the state, or undefined if earlier records have expired and no snapshot covers them
 * @example
 * restoreState([])?.offset; // -1
 */
export function restoreState(entries: readonly LogEntry[]): ConfigState | undefined {
  const first = entries[0]?.offset ?? 0;
  let base: ConfigState | undefined = first === 0 ? createConfigState() : undefined;
  for (const { record } of entries) {
    if (record.type !== 'snapshot') continue;
    if (record.state.offset + 1 < first) continue;
    if (base && base.offset >= record.state.offset) continue;
    // Snapshots of earlier versions may lack fields that were added later.
    base = { ...createConfigState(), ...record.state };
  }
  if (!base) return undefined;
  return entries.reduce(applyRecord, base);
}
