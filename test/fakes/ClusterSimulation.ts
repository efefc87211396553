/**
 * Simulation of entries, agents, links, upstreams and the log on one virtual clock. Links drop, delay, repeat and reorder
 * messages; processes are killed, paused and replaced; the invariants are checked at each event.
 */
import TinyQueue from 'tinyqueue';

import { createRandom } from '../../src/_lib/createRandom.js';
import type { Hello, Message } from '../../src/connection/messages.js';
import { decodeBatch, encodeBatch } from '../../src/connection/codec.js';
import { AgentNode } from '../../src/process/agent/AgentNode.js';
import { DEFAULT_AGENT_LIMITS } from '../../src/process/agent/agentState.js';
import type { AgentTask } from '../../src/process/agent/agentState.js';
import { DEFAULT_ENTRY_MEMBERSHIP, EntryNode } from '../../src/process/entry/EntryNode.js';
import { DEFAULT_ENTRY_LIMITS } from '../../src/process/entry/entryState.js';
import { DEFAULT_REGISTRAR_LIMITS } from '../../src/process/registrar/registrarState.js';
import { LatenessAdmission } from '../../src/request/admission.js';
import type { JobAnswer } from '../../src/request/job.js';
import { RemainingWorkOrdering } from '../../src/request/ordering.js';
import { CreditPlacement } from '../../src/request/placement.js';
import type { EventConfig } from '../../src/version/configState.js';
import { FakeLog } from './FakeLog.js';

/** Rates of link faults, as shares of all messages. */
export interface LinkFaults {
  readonly drop: number;
  readonly repeat: number;
  readonly late: number;
}

/** Sizes and faults of a simulation. */
export interface SimulationOptions {
  readonly seed: number;
  readonly entries: number;
  readonly agents: number;
  readonly faults: LinkFaults;
}

interface Process {
  readonly id: string;
  readonly domain: number;
  incarnation: number;
  node: EntryNode | AgentNode;
  alive: boolean;
  leftAt: number;
  pausedUntil: number;
}

interface Event {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** A caller's submission and its answer. */
export interface Submission {
  readonly job: string;
  readonly entry: string;
  readonly at: number;
  answer: JobAnswer | undefined;
}

const START = 1_700_000_000_000;
const TICK_MS = 50;
const LINK_MS = 150;
const LOG_MS = 100;
const SLOTS = 2;
const TIGHT_DEADLINE_MS = 600;
/** A link to a process that is paused for longer is closed, as by keepalive pings. */
const KEEPALIVE_MS = 3_000;
/** Time after which a leaving upstream receives no new work. */
const LEAVING_BOUND_MS = 3_000;

/** Event that every simulation starts with. */
export const OPENING: EventConfig = {
  name: 'opening',
  startAt: 0,
  endAt: 0,
  services: ['exchange'],
  kinds: [
    { name: 'quote', service: 'exchange', priority: 0, deadlineMs: 8_000, repeatable: true, expectedMs: 100 },
    {
      name: 'reservation',
      service: 'exchange',
      priority: 1,
      deadlineMs: 15_000,
      repeatable: false,
      expectedMs: 200,
    },
  ],
  version: 0,
};

/** Thrown when an invariant is violated. */
export class PromiseBroken extends Error {
  override readonly name = 'PromiseBroken';
}

/** Simulation of entries, agents and the log. */
export class ClusterSimulation {
  now = START;
  readonly log = new FakeLog();
  readonly processes = new Map<string, Process>();
  readonly starts = new Map<string, number>();
  readonly submissions: Submission[] = [];
  messages = 0;
  private readonly created = new Map<string, number>();
  private readonly events = new TinyQueue<Event>(
    [],
    (left, right) => left.at - right.at || left.order - right.order,
  );
  private readonly sessions = new Map<string, { left: string; right: string; session: number }>();
  private readonly cut = new Set<number>();
  private order = 0;
  /** Returns a number from 0 to 1. */
  readonly nextRandom: () => number;

  constructor(private readonly options: SimulationOptions) {
    this.nextRandom = createRandom(options.seed);
    this.log.append(
      { type: 'event', id: 'declare', action: 'declare', decidedOn: 0, event: OPENING },
      this.now,
    );
    for (let i = 0; i < options.entries; i += 1) this.boot(`entry-${i}`, i % 3);
    for (let i = 0; i < options.agents; i += 1) this.boot(`agent-${i}`, i % 3);
    this.advance(1_500);
  }

  /** Advances the clock and runs all events that are due. */
  advance(ms: number): void {
    const until = this.now + ms;
    for (;;) {
      const next = this.events.peek();
      if (!next || next.at > until) break;
      this.events.pop();
      this.now = Math.max(this.now, next.at);
      next.run();
    }
    this.now = until;
  }

  /** Submits a job, possibly again, to one entry. */
  submit(number: number, entry: number, changed = false): void {
    const process = this.processes.get(`entry-${entry}`);
    if (!process?.alive || this.now < process.pausedUntil) return;
    const job = `job-${number}`;
    if (!this.created.has(job)) this.created.set(job, this.now);
    const node = process.node as EntryNode;
    if (!node.state.config.events.some((event) => event.name === 'opening')) return;
    const kind = number % 3 === 0 ? 'reservation' : 'quote';
    const count = 1 + (number % 7);
    const tasks = Array.from({ length: count }, (_, index) => ({
      kind,
      body: `"${job}/${index}${changed ? 'x' : ''}"`,
    }));
    const submission: Submission = { job, entry: process.id, at: this.now, answer: undefined };
    const caller = String(this.submissions.push(submission) - 1);
    const createdAt = this.created.get(job) as number;
    // Some deadlines are so tight that a loaded entry refuses a job that an idle one accepted.
    const deadlineMs = number % 4 === 1 ? TIGHT_DEADLINE_MS : undefined;
    const request = { job, createdAt, event: 'opening', deadlineMs, tasks, caller: '', team: '' };
    node.submit(request, caller, this.now);
    this.applyEffects(process);
  }

  /** Kills a process and drops its state. */
  kill(id: string): void {
    const process = this.processes.get(id);
    if (!process?.alive) return;
    process.alive = false;
    for (const key of [...this.sessions.keys()]) {
      const link = this.sessions.get(key);
      if (link && (link.left === this.buildPeerName(process) || link.right === this.buildPeerName(process)))
        this.breakLink(key);
    }
  }

  /** Restarts a killed process as its next incarnation at the same address. */
  restart(id: string): void {
    const process = this.processes.get(id);
    if (process && !process.alive) this.boot(id, process.domain, process.incarnation + 1);
  }

  /** Pauses a process without notice. */
  pause(id: string, ms: number): void {
    const process = this.processes.get(id);
    if (process?.alive) process.pausedUntil = Math.max(process.pausedUntil, this.now + ms);
  }

  /** Starts a planned stop of an agent. */
  leave(id: string): void {
    const process = this.processes.get(id);
    if (!process?.alive || !(process.node instanceof AgentNode) || process.leftAt > 0) return;
    process.leftAt = this.now;
    process.node.leave();
    this.applyEffects(process);
  }

  /** Makes an agent's upstream refuse connections for some time. */
  breakUpstream(id: string, ms: number): void {
    const process = this.processes.get(id);
    if (!process?.alive || !(process.node instanceof AgentNode)) return;
    const { node } = process;
    node.setUpstreamDown(true);
    this.applyEffects(process);
    this.schedule(ms, () => {
      node.setUpstreamDown(false);
      if (process.node === node && process.alive) this.applyEffects(process);
    });
  }

  /** Cuts a failure domain off from the others and the log. */
  cutDomain(domain: number): void {
    this.cut.add(domain);
  }

  /** Ends all faults and restarts dead processes. */
  heal(): void {
    this.cut.clear();
    this.log.down = false;
    for (const process of this.processes.values()) {
      process.pausedUntil = Math.min(process.pausedUntil, this.now);
      if (!process.alive) this.restart(process.id);
    }
  }

  /** Ends all faults, runs to the end, and checks that every caller of a live entry was answered. */
  settle(): void {
    this.heal();
    this.advance(40_000);
    for (const submission of this.submissions) {
      const process = this.processes.get(submission.entry);
      if (!submission.answer && process?.incarnation === 0) {
        throw new PromiseBroken(`${submission.job} at ${submission.entry} was never answered`);
      }
    }
  }

  private boot(id: string, domain: number, incarnation = 0): void {
    const peer = `${id}@${incarnation}`;
    const node = id.startsWith('entry') ? this.createEntry(peer, domain) : this.createAgent(peer, domain);
    const process: Process = { id, domain, incarnation, node, alive: true, leftAt: 0, pausedUntil: 0 };
    this.processes.set(id, process);
    this.repeat(process, TICK_MS, () => node.tick(this.now));
    this.repeat(process, LOG_MS, () => this.readLog(process));
    if (node instanceof EntryNode) this.repeat(process, LINK_MS, () => this.keepLinks(process));
  }

  private createEntry(peer: string, domain: number): EntryNode {
    const policy = {
      ordering: new RemainingWorkOrdering(),
      placement: new CreditPlacement(),
      admission: new LatenessAdmission(DEFAULT_ENTRY_LIMITS.maxActiveJobs),
    };
    const membership = {
      ...DEFAULT_ENTRY_MEMBERSHIP,
      address: peer,
      failureDomain: `d${domain}`,
      snapshotEvery: 10,
    };
    // Simulated links lose single messages, unlike real ones, so entries ask again sooner. Small parts make
    // announcements span several messages, as in a large fleet.
    const limits = { ...DEFAULT_ENTRY_LIMITS, askAgainMs: 2_000, claimsPerPart: 2 };
    return new EntryNode(peer, limits, membership, {
      policy,
      nextRandom: () => this.nextRandom(),
    });
  }

  private createAgent(peer: string, domain: number): AgentNode {
    const membership = {
      address: peer,
      failureDomain: `d${domain}`,
      registrar: true,
      proposeRepeatMs: 1_000,
    };
    return new AgentNode(
      peer,
      { ...DEFAULT_AGENT_LIMITS, slots: SLOTS },
      DEFAULT_REGISTRAR_LIMITS,
      membership,
    );
  }

  private repeat(process: Process, every: number, run: () => void): void {
    const { incarnation } = process;
    const turn = (): void => {
      if (!process.alive || process.incarnation !== incarnation) return;
      if (this.now < process.pausedUntil) return this.schedule(process.pausedUntil - this.now, turn);
      run();
      this.applyEffects(process);
      this.schedule(every, turn);
    };
    this.schedule(Math.floor(this.nextRandom() * every), turn);
  }

  private schedule(delay: number, run: () => void): void {
    this.order += 1;
    this.events.push({ at: this.now + delay, order: this.order, run });
  }

  private buildPeerName(process: Process): string {
    return `${process.id}@${process.incarnation}`;
  }

  private isCut(left: Process, right: Process): boolean {
    return left.domain !== right.domain && (this.cut.has(left.domain) || this.cut.has(right.domain));
  }

  private readLog(process: Process): void {
    if (this.cut.has(process.domain)) return;
    const { config } = process.node instanceof EntryNode ? process.node.state : process.node.registrar;
    const entries = this.log.read(config.offset + 1);
    if (!entries) return;
    process.node.followLog(JSON.parse(JSON.stringify(entries)), this.now);
  }

  /** Opens links to every reachable live process and closes those that are gone. */
  private keepLinks(process: Process): void {
    for (const other of this.processes.values()) {
      if (other === process) continue;
      const key = `${process.id}|${other.id}`;
      const link = this.sessions.get(key);
      const silent = other.pausedUntil - this.now > KEEPALIVE_MS;
      const reachable = other.alive && !silent && !this.isCut(process, other);
      if (link) {
        const current = link.left === this.buildPeerName(process) && link.right === this.buildPeerName(other);
        if (!reachable || !current) this.breakLink(key);
        continue;
      }
      if (!reachable || this.now < other.pausedUntil) continue;
      this.openLink(key, process, other);
    }
  }

  private openLink(key: string, left: Process, right: Process): void {
    this.order += 1;
    const session = this.order;
    this.sessions.set(key, { left: this.buildPeerName(left), right: this.buildPeerName(right), session });
    this.transmit(left, right, session, key, (node) => this.acceptHello(node, left.node.buildHello()));
    this.transmit(right, left, session, key, (node) => this.acceptHello(node, right.node.buildHello()));
  }

  private acceptHello(node: EntryNode | AgentNode, hello: Hello): void {
    if (node instanceof EntryNode) node.openLink(hello, this.now);
    else node.openLink(hello);
  }

  private breakLink(key: string): void {
    const link = this.sessions.get(key);
    if (!link) return;
    this.sessions.delete(key);
    for (const [own, other] of [
      [link.left, link.right],
      [link.right, link.left],
    ] as const) {
      const process = this.processes.get(own.slice(0, own.lastIndexOf('@')));
      if (!process?.alive || this.buildPeerName(process) !== own) continue;
      this.schedule(20, () => {
        if (this.sessions.has(key)) return;
        process.node.closeLink(other, this.now);
      });
    }
  }

  /** Applies a process's effects and checks each start. */
  private applyEffects(process: Process): void {
    const effects =
      process.node instanceof EntryNode ? process.node.takeEffects(this.now) : process.node.takeEffects();
    for (const effect of effects) {
      if (effect.type === 'send') this.send(process, effect.to, effect.message);
      else if (effect.type === 'append') this.append(process, effect.record);
      else if (effect.type === 'run') this.runTask(process, effect.task);
      else if (effect.type === 'answer') this.handleAnswer(effect.caller, effect.answer);
    }
  }

  private append(process: Process, record: Parameters<FakeLog['append']>[0]): void {
    const copy = JSON.parse(JSON.stringify(record));
    if (this.cut.has(process.domain)) return;
    // An append may be lost, applied late, or applied twice because its answer was lost.
    if (this.nextRandom() < 0.1) return;
    this.schedule(5 + this.nextRandom() * 50, () => this.log.append(copy, this.now));
    if (this.nextRandom() < 0.2) this.schedule(300, () => this.log.append(copy, this.now));
  }

  private send(from: Process, to: string, message: Message): void {
    this.messages += 1;
    const other = this.processes.get(to.slice(0, to.lastIndexOf('@')));
    if (!other || this.buildPeerName(other) !== to) return;
    const [left, right] = from.node instanceof EntryNode ? [from, other] : [other, from];
    let key = `${left.id}|${right.id}`;
    let link = this.sessions.get(key);
    if (!link && other.node instanceof EntryNode && from.node instanceof EntryNode) {
      key = `${right.id}|${left.id}`;
      link = this.sessions.get(key);
    }
    if (!link) return;
    const [copy] = decodeBatch(encodeBatch([message]));
    const { faults } = this.options;
    const times = this.nextRandom() < faults.drop ? 0 : this.nextRandom() < faults.repeat ? 2 : 1;
    for (let i = 0; i < times; i += 1) {
      this.transmit(from, other, link.session, key, (node, now) =>
        node.receive(this.buildPeerName(from), copy as Message, now),
      );
    }
  }

  /** Delivers to a process over a link session, sometimes late, and after its pause. */
  private transmit(
    from: Process,
    to: Process,
    session: number,
    key: string,
    run: (node: EntryNode | AgentNode, now: number) => void,
  ): void {
    const late = this.nextRandom() < this.options.faults.late;
    const delay = late ? this.nextRandom() * 400 : 0.3 + this.nextRandom();
    const { incarnation } = to;
    const deliver = (): void => {
      if (!to.alive || to.incarnation !== incarnation || this.isCut(from, to)) return;
      if (this.now < to.pausedUntil) return this.schedule(to.pausedUntil - this.now, deliver);
      if (this.sessions.get(key)?.session !== session) return;
      run(to.node, this.now);
      this.applyEffects(to);
    };
    this.schedule(delay, deliver);
  }

  private runTask(process: Process, task: AgentTask): void {
    const id = `${task.job.key}/${task.index}`;
    const count = (this.starts.get(id) ?? 0) + 1;
    this.starts.set(id, count);
    if (count > 1) throw new PromiseBroken(`${id} started ${count} times`);
    if (process.leftAt > 0 && this.now - process.leftAt > LEAVING_BOUND_MS) {
      throw new PromiseBroken(`${process.id} started ${id} while leaving`);
    }
    const body = task.body;
    const fate = this.nextRandom();
    const node = process.node as AgentNode;
    const { incarnation } = process;
    const end = (): void => {
      if (!process.alive || process.incarnation !== incarnation) return;
      if (this.now < process.pausedUntil) return this.schedule(process.pausedUntil - this.now, end);
      if (fate < 0.01) node.endTask(task, { type: 'lost', reason: 'connection-broken' }, this.now);
      else node.endTask(task, { type: 'answered', status: 200, body }, this.now);
      this.applyEffects(process);
    };
    this.schedule(50 + this.nextRandom() * 300, end);
  }

  private handleAnswer(caller: string, answer: JobAnswer): void {
    const submission = this.submissions[Number(caller)] as Submission;
    if (submission.answer) throw new PromiseBroken(`${submission.job} was answered twice on one connection`);
    submission.answer = answer;
    const started = [...this.starts.keys()].some((id) => id.startsWith(`${submission.job}/`));
    if (answer.outcome === 'refused' && started)
      throw new PromiseBroken(`${submission.job} ran and was refused`);
    if (answer.outcome !== 'complete') return;
    const count = 1 + (Number(submission.job.slice(4)) % 7);
    if (answer.answers.length !== count)
      throw new PromiseBroken(`${submission.job} was answered only partially`);
    answer.answers.forEach(({ body }, index) => {
      if (!body.startsWith(`"${submission.job}/${index}`))
        throw new PromiseBroken(`${submission.job} got ${body}`);
    });
  }
}
