import { applyRecord } from './applyRecord.js';
import type { ConfigState } from './configState.js';
import type { LogEntry } from './logRecord.js';
import { restoreState } from './restoreState.js';

/**
 * Brings a configuration up to date with records read from the log. Where the next record has expired, the
 * newest snapshot among those read takes its place.
 *
 * @param config - the configuration so far
 * @param entries - records in offset order
 * @returns the newer configuration, or the same one when the records do not reach it
 * @example
 * followLog(createConfigState(), []).offset; // -1
 */
export function followLog(config: ConfigState, entries: readonly LogEntry[]): ConfigState {
  const first = entries[0];
  if (!first) return config;
  if (first.offset <= config.offset + 1) return entries.reduce(applyRecord, config);
  const restored = restoreState(entries);
  return restored && restored.offset > config.offset ? restored : config;
}
