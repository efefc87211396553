import { applyRecord } from './applyRecord.js';
import { createConfigState } from './configState.js';
import type { ConfigState } from './configState.js';
import type { LogEntry } from './logRecord.js';

/**
 * Derives the configuration from what the log still retains: the newest snapshot whose successor is still
 * there, and every record after the offset that the snapshot covers.
 *
 * @param entries - all retained records in offset order
 * @returns the state, or undefined when the records before the first one are gone and no snapshot covers them
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
    // Snapshots of earlier versions lack what was added to the state since.
    base = { ...createConfigState(), ...record.state };
  }
  if (!base) return undefined;
  return entries.reduce(applyRecord, base);
}
