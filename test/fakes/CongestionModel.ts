/**
 * Dispatchers whose links carry only so many bytes a second, and agents with room, on virtual time. The product's own
 * dispatcher runs unchanged.
 *
 * The pattern is a metastable failure, here a congestion collapse: a short overload (the trigger) makes starts wait for
 * the link for longer than they are good for; they come back as expired and are sent again, and what is sent for
 * nothing keeps the link full when the overload is over. What tells it from an overload is that it does not end.
 */
import type {
  AttemptResult,
  DispatcherMessage,
  CapacityReport,
} from '../../src/connection/peer/peerMessages.js';
import { createRandom } from '../../src/_lib/createRandom.js';
import { Dispatcher } from '../../src/process/dispatcher/Dispatcher.js';
import type { SendWindow } from '../../src/process/dispatcher/SendWindow.js';
import { SpeedPlacement } from '../../src/process/dispatcher/Placement.js';
import { deriveDispatchTimes } from '../../src/process/dispatchTimes.js';
import type { DispatchSettings } from '../../src/process/settings/dispatchSettings.js';
import { JobBounds } from '../../src/request/dispatch/JobBounds.js';
import type { JobOutcome } from '../../src/request/dispatch/submission.js';
import { ROUTE, STEP, WIDE_LIMITS } from './dispatchFixtures.js';

/** One step of the virtual time, ms. */
const STEP_MS = 1;
const TICK_MS = 40;
/** One way of a message, ms, as between two failure domains. */
const WAY_MS = 1;
/** Time that a task works, ms, and that its caller waits. */
const WORK_MS = 60;
const PATIENCE_MS = 1_500;
/** Time that the users allow beyond the work, ms. */
const TARGET_LATENCY_MS = 61;
/** Agents that a dispatcher is linked to, and tasks that fit one: more than any load here asks for. */
const AGENTS = 8;
const CAPACITY = { cpuMilli: 100_000, memoryMb: 1_000_000, gpus: 0 };
/** Most jobs a second that are submitted to one dispatcher: a wide link is not filled. */
const MAX_PER_S = 400;
/** Bytes of a message beside its job's text. */
const START_BYTES = 200;
const TIMES = deriveDispatchTimes({ resubmitMs: 1_300, maxLeaseMs: 1_000 } as DispatchSettings);

/** What is played. */
export interface CongestionPlay {
  /** Of each dispatcher's link, Mbit a second. */
  readonly mbps: number;
  readonly dispatchers: number;
  /** Bytes of a job's text. */
  readonly bodyBytes: number;
  /** Load before and after the trigger, as a share of what the link carries. */
  readonly load: number;
  /** Load while the trigger lasts. */
  readonly triggerLoad: number;
  readonly seed: number;
  readonly createWindow: () => SendWindow;
}

/** When the trigger begins, when it ends, and when the play ends, ms. */
export const TRIGGER_FROM_MS = 1_000;
export const TRIGGER_UNTIL_MS = 5_000;
export const PLAY_MS = 9_000;

/** Jobs of one second by the time of their submission. */
export interface SecondCount {
  submitted: number;
  completed: number;
  refused: number;
}

interface Sent {
  readonly message: DispatcherMessage;
  readonly agent: number;
  readonly arrivesAt: number;
}

interface Run {
  readonly name: AttemptResult['name'];
  readonly endsAt: number;
}

interface ModelAgent {
  readonly id: string;
  startsSeen: number;
  /** Time that the newest echo took, ms. */
  echoMs: number;
  readonly runs: Run[];
  nextPingAt: number;
}

/** One dispatcher, its link and the agents it is linked to; dispatchers share nothing but the time. */
class ModelEntry {
  readonly seconds: SecondCount[] = [];
  private readonly dispatcher: Dispatcher;
  private readonly agents: ModelAgent[] = [];
  private readonly onTheWay: Sent[] = [];
  private now = 0;
  private linkFreeAt = 0;
  private due = 0;
  private jobs = 0;

  constructor(
    private readonly play: CongestionPlay,
    index: number,
  ) {
    const nextRandom = createRandom(play.seed + index);
    this.dispatcher = new Dispatcher(
      {
        pingMs: TIMES.pingMs,
        bounds: new JobBounds(WIDE_LIMITS),
        placement: new SpeedPlacement(1),
        window: play.createWindow(),
        nextRandom,
      },
      {
        send: (id, message) => this.send(id, message),
        log: () => undefined,
        recordOutcome: () => undefined,
      },
    );
    for (let number = 0; number < AGENTS; number += 1) {
      const base = { failureDomain: 'x', holding: [], results: [], entryLife: 'me', orphanMs: 1_240 };
      const hello = { type: 'agent-hello', agent: `a${number}`, life: '1', ...base } as const;
      const id = this.dispatcher.handleHello(hello, 'me', 0);
      const nextPingAt = nextRandom() * TIMES.pingMs;
      this.agents.push({ id, startsSeen: 0, echoMs: 0, runs: [], nextPingAt });
      this.ping(this.agents[number] as ModelAgent);
    }
  }

  /** Moves time on by one step. */
  step(now: number): void {
    this.now = now;
    this.submitDue();
    while (this.onTheWay[0] && this.onTheWay[0].arrivesAt <= now) this.arrive(this.onTheWay.shift() as Sent);
    for (const agent of this.agents) this.stepAgent(agent);
    if (now % TICK_MS === 0) this.dispatcher.tick(now);
    this.dispatcher.place(now);
  }

  private submitDue(): void {
    const { mbps, bodyBytes, load, triggerLoad } = this.play;
    const isTriggered = this.now >= TRIGGER_FROM_MS && this.now < TRIGGER_UNTIL_MS;
    const perSecond = (mbps * 125_000 * (isTriggered ? triggerLoad : load)) / (bodyBytes + START_BYTES);
    this.due += (Math.min(perSecond, MAX_PER_S) * STEP_MS) / 1_000;
    for (; this.due >= 1; this.due -= 1) this.submit();
  }

  private submit(): void {
    const second = Math.floor(this.now / 1_000);
    const count = (this.seconds[second] ??= { submitted: 0, completed: 0, refused: 0 });
    count.submitted += 1;
    this.jobs += 1;
    const submission = {
      id: `job${this.jobs}`,
      route: { ...ROUTE, targetLatencyMs: TARGET_LATENCY_MS },
      spec: 'x'.repeat(this.play.bodyBytes),
      steps: [{ ...STEP, estimateMs: WORK_MS }],
      patienceMs: PATIENCE_MS,
    };
    const answer = ({ kind }: JobOutcome): void => {
      if (kind === 'completed') count.completed += 1;
      if (kind === 'refused') count.refused += 1;
    };
    this.dispatcher.submit(submission, { answer }, this.now);
  }

  /** Messages take their turn on the link. */
  private send(id: string, message: DispatcherMessage): void {
    const bytes = START_BYTES + (message.type === 'start' ? message.spec.length : 0);
    this.linkFreeAt = Math.max(this.linkFreeAt, this.now) + (bytes * 8) / (this.play.mbps * 1_000);
    const agent = this.agents.findIndex((one) => one.id === id);
    this.onTheWay.push({ message, agent, arrivesAt: this.linkFreeAt + WAY_MS });
  }

  private arrive({ message, agent: number }: Sent): void {
    const agent = this.agents[number] as ModelAgent;
    if (message.type === 'pong') agent.echoMs = this.now - message.at;
    if (message.type !== 'start') return;
    agent.startsSeen += 1;
    if (this.now > message.expiresAt) return this.tellResult(agent, message.name, 'not-run', 'expired');
    agent.runs.push({ name: message.name, endsAt: this.now + WORK_MS });
  }

  private stepAgent(agent: ModelAgent): void {
    while (agent.runs[0] && agent.runs[0].endsAt <= this.now) {
      const { name } = agent.runs.shift() as Run;
      this.tellResult(agent, name, 'done', '');
    }
    if (this.now < agent.nextPingAt) return;
    agent.nextPingAt += TIMES.pingMs;
    this.ping(agent);
  }

  private ping(agent: ModelAgent): void {
    const at = this.now;
    const ping = { at, version: 1, room: this.buildRoom(agent), progress: undefined, echoMs: agent.echoMs };
    this.dispatcher.handlePing(agent.id, { type: 'ping', ...ping }, at);
    const versions = { version: 1, typicalSpeed: 1 };
    this.send(agent.id, { type: 'pong', at, ...versions, isWaiting: this.dispatcher.waitingTasks > 0 });
  }

  private tellResult(
    agent: ModelAgent,
    name: AttemptResult['name'],
    end: AttemptResult['end'],
    reason: string,
  ): void {
    this.dispatcher.handleResult(agent.id, { type: 'result', name, end, reason }, this.now);
    this.dispatcher.handleCapacity(
      agent.id,
      { type: 'room', at: this.now, room: this.buildRoom(agent) },
      this.now,
    );
  }

  private buildRoom({ id, startsSeen, runs }: ModelAgent): CapacityReport {
    const free = { ...CAPACITY, cpuMilli: CAPACITY.cpuMilli - runs.length * STEP.resources.cpuMilli };
    const description = { upstream: id, service: ROUTE.service, labels: [], capacity: CAPACITY };
    return { description, state: 'ready', trust: 'healthy', free, startsSeen, speed: 1 };
  }
}

/**
 * Plays a load that is under the link's rate, a trigger that is over it, and the load again.
 *
 * @param play - rates and loads
 * @returns the jobs of each second, over all dispatchers
 */
export function runCongestion(play: CongestionPlay): SecondCount[] {
  const entries = Array.from({ length: play.dispatchers }, (_, index) => new ModelEntry(play, index));
  for (let now = 0; now < PLAY_MS; now += STEP_MS) for (const entry of entries) entry.step(now);
  const seconds: SecondCount[] = [];
  for (const { seconds: own } of entries) {
    own.forEach(({ submitted, completed, refused }, at) => {
      const sum = (seconds[at] ??= { submitted: 0, completed: 0, refused: 0 });
      sum.submitted += submitted;
      sum.completed += completed;
      sum.refused += refused;
    });
  }
  return seconds;
}
