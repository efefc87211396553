/** Records that a process proposes so that the members on the log are those that run. */
import { findProcessId } from '../connection/findProcessId.js';
import type { ConfigState, MemberConfig } from '../version/configState.js';
import type { LogRecord } from '../version/logRecord.js';

/** Appends of one process that wait for their effect. */
export interface ProposalState {
  /** When each record was last proposed, ms since the epoch, by command id. */
  readonly proposedAt: Map<string, number>;
  /** How long to wait before the same record is proposed again, ms. */
  readonly repeatMs: number;
}

/**
 * Lists the members of a configuration, whatever their role.
 *
 * @param config - the configuration
 * @returns registrars, standbys and entries
 */
export function listMembers(config: ConfigState): readonly MemberConfig[] {
  return [...config.registrars, ...config.standbys, ...config.entries];
}

/**
 * Proposes that this process becomes a member, and that its earlier incarnations stop being ones.
 *
 * @param config - the configuration
 * @param self - this process
 * @returns records to append; empty once the configuration says so
 * @example
 * proposeJoin(createConfigState(), { role: 'entry', peer: 'entry-1@a', address: '127.0.0.1:1' }).length; // 1
 */
export function proposeJoin(
  config: ConfigState,
  self: { readonly role: 'entry' | 'registrar'; readonly peer: string; readonly address: string },
): LogRecord[] {
  const id = findProcessId(self.peer);
  const members = listMembers(config);
  const records: LogRecord[] = [];
  for (const member of members) {
    if (member.peer === self.peer || findProcessId(member.peer) !== id) continue;
    records.push(createLeave(member.peer, member.joinedOffset));
  }
  if (members.some((member) => member.peer === self.peer)) return records;
  // The offset in the id lets a process join again that was removed by mistake.
  const command = `join:${self.peer}:${countLeaves(config, self.peer)}`;
  records.push({ type: 'join', id: command, ...self });
  return records;
}

/**
 * Returns the record that ends a membership. Every process that proposes it uses the same id, so that racing
 * proposals have one effect.
 *
 * @param peer - `id@incarnation`
 * @param joinedOffset - of the membership that ends; tells it from a later one of the same incarnation
 * @returns the record
 */
export function createLeave(peer: string, joinedOffset: number): LogRecord {
  return { type: 'leave', id: `leave:${peer}:${joinedOffset}`, peer };
}

/**
 * Keeps the records whose turn it is: new ones, and ones whose effect has not been seen for long.
 *
 * @param state - the proposals so far, which are changed
 * @param records - what should be on the log
 * @param now - ms since the epoch
 * @returns the records to append now
 */
export function pickDueRecords(
  state: ProposalState,
  records: readonly LogRecord[],
  now: number,
): LogRecord[] {
  const due = records.filter(
    (record) => (state.proposedAt.get(record.id) ?? -Infinity) + state.repeatMs <= now,
  );
  for (const record of due) state.proposedAt.set(record.id, now);
  return due;
}

function countLeaves(config: ConfigState, peer: string): number {
  return config.results.filter((result) => result.accepted && result.id.startsWith(`leave:${peer}:`)).length;
}
