/** A dispatcher without a process, for its unit tests. */
import type {
  AttemptEnd,
  CapacityReport,
  DispatcherMessage,
  ExecutorHello,
  StartOrder,
} from '../../src/connection/peer/peerMessages.js';
import { Dispatcher } from '../../src/process/dispatcher/Dispatcher.js';
import { SpeedPlacement } from '../../src/process/dispatcher/Placement.js';
import { UnboundedWindow } from '../../src/process/dispatcher/SendWindow.js';
import { JobBounds } from '../../src/request/dispatch/JobBounds.js';
import type { JobSubmission, StepNeed } from '../../src/request/dispatch/submission.js';
import { FakeCaller } from './FakeCaller.js';
import { ROUTE, STEP as ONE_TASK, WIDE_LIMITS } from './dispatchFixtures.js';

/** Step of two tasks. */
export const STEP: StepNeed = { ...ONE_TASK, count: 2 };
const PING_MS = 100;
/** Orphan timeout of its executors, ms. */
export const ORPHAN_MS = 1_000;

/** Builds a submission with default values. */
export function buildSubmission(change: Partial<JobSubmission> = {}): JobSubmission {
  return { id: 'job', route: ROUTE, spec: 'text', steps: [STEP], patienceMs: 2_000, ...change };
}

/** Dispatcher whose messages and log lines are recorded. */
export class DispatcherFixture {
  readonly sent: { executorId: string; message: DispatcherMessage }[] = [];
  readonly logged: { readonly event: string; readonly fields: Readonly<Record<string, unknown>> }[] = [];
  readonly caller = new FakeCaller();
  /** How long ago input may have arrived that is handled now, ms. */
  inputLagMs = 0;
  readonly dispatcher = new Dispatcher(
    {
      pingMs: PING_MS,
      bounds: new JobBounds(WIDE_LIMITS),
      placement: new SpeedPlacement(1.5),
      window: new UnboundedWindow(),
      findInputLag: () => this.inputLagMs,
      nextRandom: () => 0.5,
    },
    {
      send: (executorId, message) => this.sent.push({ executorId, message }),
      log: (event, fields) => void this.logged.push({ event, fields }),
      recordOutcome: () => undefined,
    },
  );

  link(processId: string, now: number, change: Partial<ExecutorHello> = {}): string {
    const base = { failureDomain: 'x', holding: [], results: [], entryLife: 'me', orphanMs: ORPHAN_MS };
    return this.dispatcher.handleHello(
      { type: 'agent-hello', agent: processId, life: '1', ...base, ...change },
      'me',
      now,
    );
  }

  buildCapacity(id: string, change: Partial<CapacityReport> = {}): CapacityReport {
    const capacity = { cpuMilli: 4_000, memoryMb: 1_000, gpus: 0 };
    const upstream = `of-${id.split('@')[0]}`;
    return {
      description: { upstream, service: 'service', labels: [], capacity },
      state: 'ready',
      trust: 'healthy',
      free: capacity,
      startsSeen: 1_000,
      speed: 1,
      ...change,
    };
  }

  ping(id: string, now: number, change: Partial<CapacityReport> = {}): void {
    const room = this.buildCapacity(id, change);
    this.dispatcher.handlePing(id, { type: 'ping', version: 1, at: now, room, progress: [] }, now);
  }

  submit(now: number, change: Partial<JobSubmission> = {}): void {
    this.dispatcher.submit(buildSubmission(change), this.caller, now);
    this.dispatcher.place(now);
  }

  get starts(): { executorId: string; order: StartOrder }[] {
    return this.sent.flatMap(({ executorId, message }) =>
      message.type === 'start' ? [{ executorId, order: message }] : [],
    );
  }

  get stops(): number {
    return this.sent.filter(({ message }) => message.type === 'stop').length;
  }

  end(at: number, end: AttemptEnd, now: number): void {
    const start = this.starts[at];
    if (!start) throw new Error('there is no such start');
    const result = { type: 'result', name: start.order.name, end, reason: 'test' } as const;
    this.dispatcher.handleResult(start.executorId, result, now);
    this.dispatcher.place(now);
  }
}
