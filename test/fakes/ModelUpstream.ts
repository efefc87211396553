/** Minimal upstream without faults, for models with thousands of tasks per second. */
import { UpstreamApi } from '../../src/ports/UpstreamApi.js';
import type {
  EndedRun,
  LeaseAnswer,
  LeaseRenewal,
  OrderAnswer,
  RunName,
  RunStart,
  StartVerdict,
  StopVerdict,
} from '../../src/ports/UpstreamApi.js';
import type { VirtualTime } from './VirtualTime.js';

/** Duration of a call, ms. */
const CALL_MS = 0.5;

interface ModelRun {
  readonly name: RunName;
  readonly startedAt: number;
  readonly endsAt: number;
}

/** Incarnation of an upstream that never fails. */
export class ModelUpstream extends UpstreamApi {
  private readonly running = new Map<string, ModelRun>();
  private ended: EndedRun[] = [];
  private sequence = 0;
  private wake: () => void = () => undefined;

  /**
   * @param time - clock of the model
   * @param findWork - returns the duration of a task, ms
   */
  constructor(
    private readonly time: VirtualTime,
    private readonly findWork: (name: RunName) => number,
  ) {
    super();
  }

  override async start({ name }: RunStart): Promise<OrderAnswer<StartVerdict>> {
    const startedAt = this.time.now();
    const endsAt = startedAt + this.findWork(name);
    const key = buildKey(name);
    this.running.set(key, { name, startedAt, endsAt });
    this.time.schedule(endsAt - startedAt, () => this.end(key, 'done'));
    await this.time.sleep(CALL_MS);
    return { verdict: 'started', clockMs: this.time.now() };
  }

  override async stop(name: RunName): Promise<OrderAnswer<StopVerdict>> {
    this.end(buildKey(name), 'stopped');
    await this.time.sleep(CALL_MS);
    return { verdict: 'accepted', clockMs: this.time.now() };
  }

  override async renew({ lastSequence, waitMs }: LeaseRenewal): Promise<LeaseAnswer> {
    this.ended = this.ended.filter(({ sequence }) => sequence > lastSequence);
    if (this.ended.length === 0 && waitMs > 0) await this.waitForEnd(waitMs);
    await this.time.sleep(CALL_MS);
    const now = this.time.now();
    const running = [...this.running.values()].map(({ name, startedAt, endsAt }) => {
      return { name, percent: Math.floor(((now - startedAt) / (endsAt - startedAt)) * 99) };
    });
    return { verdict: 'held', clockMs: now, bornAt: undefined, running, ended: [...this.ended] };
  }

  override close(): void {
    // There is no connection to close.
  }

  private waitForEnd(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.wake = resolve;
      this.time.schedule(waitMs, resolve);
    });
  }

  private end(key: string, end: EndedRun['end']): void {
    const run = this.running.get(key);
    if (!run) return;
    this.running.delete(key);
    this.sequence += 1;
    this.ended.push({ sequence: this.sequence, name: run.name, end });
    this.wake();
  }
}

function buildKey({ job, step, index, run }: RunName): string {
  return `${job}/${step}/${index}/${run}`;
}
