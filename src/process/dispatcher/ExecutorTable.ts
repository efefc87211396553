/** The agents that a dispatcher knows: which are linked, where nothing is placed, and how fast their upstreams work. */
import type { ExecutorHello } from '../../connection/peer/peerMessages.js';
import { ExecutorView, buildExecutorId } from './ExecutorView.js';

/** Lowest speed that the median is taken for, so that no estimate becomes endless. */
const MIN_TYPICAL_SPEED = 0.2;
/** Agents that have been gone for so long are forgotten, ms. */
const FORGET_AGENT_MS = 10_000;

/** Agents of one dispatcher, by process and life. */
export class ExecutorTable {
  private readonly agents = new Map<string, ExecutorView>();
  /** Failure domains in which nothing is started. */
  private emptied: readonly string[] = [];
  private median = 1;

  /** @param staleMs - time since an agent was last heard from which on it gets nothing new, ms */
  constructor(readonly staleMs: number) {}

  /** Typical work per ms of the upstreams, in ms of estimates. */
  get typicalSpeed(): number {
    return this.median;
  }

  /** All agents, linked or not. */
  list(): ExecutorView[] {
    return [...this.agents.values()];
  }

  /** Finds one life of an agent. */
  find(id: string): ExecutorView | undefined {
    return this.agents.get(id);
  }

  /** Whether an agent of any service is linked and takes work. */
  hasReady(now: number): boolean {
    for (const agent of this.agents.values()) {
      if (agent.isReady(now, this.staleMs)) return true;
    }
    return false;
  }

  /** The operators have emptied these failure domains, and no others. */
  setEmptied(domains: readonly string[]): void {
    this.emptied = domains;
    for (const agent of this.agents.values()) agent.isEmptied = domains.includes(agent.failureDomain);
  }

  /** Adds an agent that is met for the first time. */
  add(hello: ExecutorHello, now: number): ExecutorView {
    const agent = new ExecutorView(hello, now);
    agent.isEmptied = this.emptied.includes(agent.failureDomain);
    this.agents.set(agent.id, agent);
    return agent;
  }

  /** A life of an agent has linked: the others do not have its link any more. */
  unlinkOthers(hello: ExecutorHello): void {
    const id = buildExecutorId(hello);
    for (const other of this.agents.values()) {
      if (other.agent === hello.agent && other.id !== id) other.linked = false;
    }
  }

  /** Other lives of an agent that had the same upstream. */
  listOtherIncarnations(agent: ExecutorView): ExecutorView[] {
    return this.list().filter(
      (other) =>
        other !== agent && other.agent === agent.agent && other.room?.upstream === agent.room?.upstream,
    );
  }

  /** Takes the speeds that agents have told. */
  updateSpeed(): void {
    this.median = findMedianSpeed(this.agents.values());
  }

  /** Forgets a life that is over. */
  delete(id: string): void {
    this.agents.delete(id);
  }

  /** Forgets an agent that has been gone for long. */
  forgetIfGone({ id, linked, heardAt }: ExecutorView, now: number): void {
    if (!linked && now > heardAt + FORGET_AGENT_MS) this.agents.delete(id);
  }

  /** Bytes of starts on their way; what was sent to an agent that says nothing may never arrive, and is not counted. */
  sumBytesInFlight(now: number): number {
    let bytes = 0;
    for (const agent of this.agents.values()) {
      if (agent.linked && this.isFresh(agent, now)) bytes += agent.unseenBytes;
    }
    return bytes;
  }

  private isFresh({ heardAt }: ExecutorView, now: number): boolean {
    return now - heardAt <= this.staleMs;
  }
}

function findMedianSpeed(agents: Iterable<ExecutorView>): number {
  const speeds: number[] = [];
  for (const { linked, room, isEmptied } of agents)
    if (linked && !isEmptied && room && room.state === 'ready') speeds.push(room.speed);
  speeds.sort((left, right) => left - right);
  return Math.max(MIN_TYPICAL_SPEED, speeds[Math.floor(speeds.length / 2)] ?? 1);
}
