/** Runs operators' statements at one entry: queries over all entries, commands through the log. */
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

/** How long the other entries may take to answer a query, ms. */
const ASK_MS = 1_000;
/** How long a command may take until the log shows its result, ms. */
const COMMAND_MS = 10_000;
/** Between two appends of the same command, whose id makes the second one harmless, ms. */
const APPEND_AGAIN_MS = 1_000;

/** An answer to an operator. */
export interface CommandAnswer {
  /** HTTP status. */
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

interface OpenAsk {
  readonly waiting: Set<string>;
  readonly rows: Row[];
  readonly finish: () => void;
}

/** Runs statements for operators. */
export class CommandDesk {
  private readonly asks = new Map<number, OpenAsk>();
  private readonly watchers = new Set<() => void>();
  private nextAsk = 1;

  constructor(
    private readonly node: EntryNode,
    private readonly platform: PlatformClient,
    private readonly send: (to: string, message: Message) => void,
  ) {}

  /** Queries are open to whoever reaches the port; commands need the shared secret. */
  isAuthorized(text: string, given: string, expected: string): boolean {
    const parsed = parseCommand(text);
    if (!parsed.ok || parsed.statement.type === 'query') return true;
    return equalSecrets(given, expected);
  }

  /** Runs one statement. */
  async runCommand(text: string, now: number): Promise<CommandAnswer> {
    const parsed = parseCommand(text);
    if (!parsed.ok) return { status: 400, body: { errors: parsed.errors } };
    if (parsed.statement.type === 'query') return this.query(text, parsed.statement, now);
    return this.command(parsed.statement, now);
  }

  /** Answers another entry's question. */
  answerAsk(from: string, ask: Ask, now: number): void {
    const parsed = parseCommand(ask.text);
    const isQuery = parsed.ok && parsed.statement.type === 'query';
    const rows = isQuery ? runQuery(this.node.state, parsed.statement as QueryStatement, now) : [];
    this.send(from, { type: 'told', id: ask.id, text: JSON.stringify(rows) });
  }

  /** Takes another entry's answer. */
  noteTold(from: string, told: Told): void {
    const ask = this.asks.get(told.id);
    if (!ask?.waiting.delete(from)) return;
    ask.rows.push(...(JSON.parse(told.text) as Row[]));
    if (ask.waiting.size === 0) ask.finish();
  }

  /** Wakes commands that wait for the configuration to show their result. */
  noteConfig(): void {
    for (const watcher of this.watchers) watcher();
  }

  /** Finds a job by its key at this entry or another. */
  async findJob(job: string, now: number): Promise<Row | undefined> {
    const text = `list jobs where job = ${JSON.stringify(job)}`;
    const { rows } = await this.collect(text, now);
    const owned = rows.find((row) => row['state'] !== 'attached');
    return owned ?? rows[0];
  }

  private async query(text: string, statement: QueryStatement, now: number): Promise<CommandAnswer> {
    const { rows, unreachable } = needsAllEntries(statement)
      ? await this.collect(text, now)
      : { rows: runQuery(this.node.state, statement, now), unreachable: [] };
    if (statement.action === 'count') return { status: 200, body: { count: rows.length, unreachable } };
    return { status: 200, body: { rows: sortRows(rows, statement), unreachable } };
  }

  /** Puts a query to every entry; those that do not answer are named. */
  private async collect(text: string, now: number): Promise<{ rows: Row[]; unreachable: string[] }> {
    const parsed = parseCommand(text);
    if (!parsed.ok || parsed.statement.type !== 'query') return { rows: [], unreachable: [] };
    const rows = runQuery(this.node.state, parsed.statement, now);
    const { config, peer, peers } = this.node.state;
    const others = config.entries.map((entry) => entry.peer).filter((other) => other !== peer);
    const reachable = others.filter((other) => peers.get(other)?.connected);
    const silent = reachable.length === 0 ? [] : await this.ask(text, reachable, rows);
    const unreachable = [...others.filter((other) => !reachable.includes(other)), ...silent];
    return { rows, unreachable };
  }

  private async ask(text: string, peers: readonly string[], rows: Row[]): Promise<string[]> {
    const id = this.nextAsk;
    this.nextAsk += 1;
    const waiting = new Set(peers);
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, ASK_MS);
      const finish = (): void => {
        clearTimeout(timer);
        resolve();
      };
      this.asks.set(id, { waiting, rows, finish });
      for (const peer of peers) this.send(peer, { type: 'ask', id, text });
    });
    this.asks.delete(id);
    return [...waiting];
  }

  /** Appends a command until the log shows its result, under one id, so that it has one effect. */
  private async command(statement: CommandStatement, now: number): Promise<CommandAnswer> {
    const id = `command:${randomUUID()}`;
    const built = buildCommandRecord(statement, this.node.state.config, id, now);
    if (!built.ok) return { status: 409, body: { accepted: false, reason: built.reason } };
    let done = false;
    const shown = this.waitForResult(id).finally(() => (done = true));
    const appending = this.appendUntil(built.record, () => done);
    const result = await shown;
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
      for (let waited = 0; waited < APPEND_AGAIN_MS && !isDone(); waited += 20) await sleep(20);
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
      const timer = setTimeout(finish, COMMAND_MS);
      this.watchers.add(watcher);
    });
  }
}
