/** Creates the log records that a process proposes to keep the membership up to date. */
import { findProcessId } from '../connection/findProcessId.js';
import type { ConfigState, MemberConfig } from '../version/configState.js';
import type { LogRecord } from '../version/logRecord.js';

/** Proposals of one process, which are repeated until they take effect. */
export interface ProposalState {
  /** When each record was last proposed, ms since the epoch, by record id. */
  readonly proposedAt: Map<string, number>;
  /** Delay before the same record is proposed again, ms. */
  readonly repeatMs: number;
}

/**
 * Lists the members of a configuration in all roles.
 *
 * @param config - the configuration
 * @returns registrars, standbys and entries
 */
export function listMembers(config: ConfigState): readonly MemberConfig[] {
  return [...config.registrars, ...config.standbys, ...config.entries];
}

/**
 * Proposes that this process joins and that its earlier incarnations leave.
 *
 * @param config - the configuration
 * @param self - this process
 * @returns records to append; empty once the configuration contains the changes
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
  // The number of leaves in the id allows a process that was removed by mistake to rejoin.
  const command = `join:${self.peer}:${countLeaves(config, self.peer)}`;
  records.push({ type: 'join', id: command, ...self });
  return records;
}

/**
 * Creates the record that ends a membership. All processes use the same id for it, so that concurrent
 * proposals have one effect.
 *
 * @param peer - `id@incarnation`
 * @param joinedOffset - offset of the join; distinguishes memberships of the same incarnation
 * @returns the record
 */
export function createLeave(peer: string, joinedOffset: number): LogRecord {
  return { type: 'leave', id: `leave:${peer}:${joinedOffset}`, peer };
}

/**
 * Selects the records to propose now: new ones, and those proposed longer ago than the repeat delay.
 *
 * @param state - proposals so far; updated
 * @param records - records that should be on the log
 * @param now - ms since the epoch
 * @returns the records to append now
 */
export function selectDueRecords(
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
