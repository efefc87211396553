import { applyRecord } from './applyRecord.js';
import type { ConfigState } from './configState.js';
import type { LogEntry } from './logRecord.js';
import { restoreState } from './restoreState.js';

/**
 * Updates a configuration with records read from the log. If the next record has expired, the newest snapshot
 * among the records is used instead.
 *
 * @param config - the current configuration
 * @param entries - records in offset order
 * @returns the new configuration, or `config` itself if there is a gap that no snapshot covers
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
