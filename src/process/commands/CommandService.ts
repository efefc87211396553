/** Runs operators' statements on one entry: queries read from every entry, commands are appended to the log. */
import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';

import { equalSecrets } from '../../_lib/equalSecrets.js';
import type { Ask, Message, Told } from '../../connection/messages.js';
import type { PlatformClient } from '../../connection/PlatformClient.js';
import type { EntryNode } from '../entry/EntryNode.js';
import { buildCommandRecord } from './buildEventRecord.js';
import { parseCommand } from './parseCommand.js';
import { needsAllEntries, runQuery, sortRows } from './runQuery.js';
import type { Row } from './runQuery.js';
import type { CommandStatement, QueryStatement } from './statement.js';

/** Timeout for the other entries' answers to a query, ms. */
const QUERY_TIMEOUT_MS = 1_000;
/** Timeout for a command's result to appear in the log, ms. */
const COMMAND_TIMEOUT_MS = 10_000;
/** Interval between appends of the same command, ms. Appends with the same id are idempotent. */
const APPEND_RETRY_MS = 1_000;

/** An answer to an operator. */
export interface CommandAnswer {
  /** HTTP status. */
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

interface PendingQuery {
  readonly waiting: Set<string>;
  readonly rows: Row[];
  readonly finish: () => void;
}

/** Runs operators' statements and answers the queries of other entries. */
export class CommandService {
  private readonly pendingQueries = new Map<number, PendingQuery>();
  private readonly watchers = new Set<() => void>();
  private nextQueryId = 1;

  constructor(
    private readonly node: EntryNode,
    private readonly platform: PlatformClient,
    private readonly send: (to: string, message: Message) => void,
  ) {}

  /** Checks the secret of a request. Queries need none; commands need the shared secret. */
  isAuthorized(text: string, given: string, expected: string): boolean {
    const parsed = parseCommand(text);
    if (!parsed.ok || parsed.statement.type === 'query') return true;
    return equalSecrets(given, expected);
  }

  /** Runs one statement. */
  async runCommand(text: string, now: number): Promise<CommandAnswer> {
    const parsed = parseCommand(text);
    if (!parsed.ok) return { status: 400, body: { errors: parsed.errors } };
    if (parsed.statement.type === 'query') return this.runQueryStatement(text, parsed.statement, now);
    return this.executeCommand(parsed.statement, now);
  }

  /** Answers a query of another entry. */
  handleAsk(from: string, ask: Ask, now: number): void {
    const parsed = parseCommand(ask.text);
    const isQuery = parsed.ok && parsed.statement.type === 'query';
    const rows = isQuery ? runQuery(this.node.state, parsed.statement as QueryStatement, now) : [];
    this.send(from, { type: 'told', id: ask.id, text: JSON.stringify(rows) });
  }

  /** Handles another entry's answer to a query. */
  handleTold(from: string, told: Told): void {
    const query = this.pendingQueries.get(told.id);
    if (!query?.waiting.delete(from)) return;
    query.rows.push(...(JSON.parse(told.text) as Row[]));
    if (query.waiting.size === 0) query.finish();
  }

  /** Resolves pending commands whose result is in the configuration. */
  checkResults(): void {
    for (const watcher of this.watchers) watcher();
  }

  /** Finds a job by its key on any entry; prefers the entry that owns it to those only attached. */
  async findJob(job: string, now: number): Promise<Row | undefined> {
    const text = `list jobs where job = ${JSON.stringify(job)}`;
    const { rows } = await this.queryAllEntries(text, now);
    const owned = rows.find((row) => row['state'] !== 'attached');
    return owned ?? rows[0];
  }

  private async runQueryStatement(
    text: string,
    statement: QueryStatement,
    now: number,
  ): Promise<CommandAnswer> {
    const { rows, unreachable } = needsAllEntries(statement)
      ? await this.queryAllEntries(text, now)
      : { rows: runQuery(this.node.state, statement, now), unreachable: [] };
    if (statement.action === 'count') return { status: 200, body: { count: rows.length, unreachable } };
    return { status: 200, body: { rows: sortRows(rows, statement), unreachable } };
  }

  /** Runs a query on every entry and lists the entries that did not answer. */
  private async queryAllEntries(text: string, now: number): Promise<{ rows: Row[]; unreachable: string[] }> {
    const parsed = parseCommand(text);
    if (!parsed.ok || parsed.statement.type !== 'query') return { rows: [], unreachable: [] };
    const rows = runQuery(this.node.state, parsed.statement, now);
    const { config, peer, peers } = this.node.state;
    const others = config.entries.map((entry) => entry.peer).filter((other) => other !== peer);
    const reachable = others.filter((other) => peers.get(other)?.connected);
    const unanswered = reachable.length === 0 ? [] : await this.queryPeers(text, reachable, rows);
    const unreachable = [...others.filter((other) => !reachable.includes(other)), ...unanswered];
    return { rows, unreachable };
  }

  private async queryPeers(text: string, peers: readonly string[], rows: Row[]): Promise<string[]> {
    const id = this.nextQueryId;
    this.nextQueryId += 1;
    const waiting = new Set(peers);
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, QUERY_TIMEOUT_MS);
      const finish = (): void => {
        clearTimeout(timer);
        resolve();
      };
      this.pendingQueries.set(id, { waiting, rows, finish });
      for (const peer of peers) this.send(peer, { type: 'ask', id, text });
    });
    this.pendingQueries.delete(id);
    return [...waiting];
  }

  /** Appends a command until its result appears in the log. Its id makes repeated appends idempotent. */
  private async executeCommand(statement: CommandStatement, now: number): Promise<CommandAnswer> {
    const id = `command:${randomUUID()}`;
    const built = buildCommandRecord(statement, this.node.state.config, id, now);
    if (!built.ok) return { status: 409, body: { accepted: false, reason: built.reason } };
    let done = false;
    const resultShown = this.waitForResult(id).finally(() => (done = true));
    const appending = this.appendUntil(built.record, () => done);
    const result = await resultShown;
    await appending;
    if (!result)
      return { status: 504, body: { accepted: 'unknown', id, reason: 'the log did not show the command' } };
    const { accepted, reason, offset } = result;
    return { status: accepted ? 200 : 409, body: { accepted, reason, version: offset, id } };
  }

  private async appendUntil(
    record: Parameters<PlatformClient['append']>[0],
    isDone: () => boolean,
  ): Promise<void> {
    while (!isDone()) {
      await this.platform.append(record).catch(() => undefined);
      for (let waited = 0; waited < APPEND_RETRY_MS && !isDone(); waited += 20) await sleep(20);
    }
  }

  private async waitForResult(
    id: string,
  ): Promise<{ accepted: boolean; reason: string; offset: number } | undefined> {
    const find = () => this.node.state.config.results.find((result) => result.id === id);
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        this.watchers.delete(watcher);
        resolve(find());
      };
      const watcher = (): void => {
        if (find()) finish();
      };
      const timer = setTimeout(finish, COMMAND_TIMEOUT_MS);
      this.watchers.add(watcher);
    });
  }
}
