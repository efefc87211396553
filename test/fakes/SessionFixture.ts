/** Session of an executor with a fake upstream, on a clock that the test advances. */
import { FencingTokens } from '../../src/process/executor/FencingTokens.js';
import { UpstreamSession } from '../../src/process/executor/UpstreamSession.js';
import { FakeClock } from './FakeClock.js';
import { FakeUpstream } from './FakeUpstream.js';
import { buildStartOrder, buildUpstreamReport, UPSTREAM_CAPACITY } from './upstreamFixtures.js';

/** Time of day at which the process starts, from which its tokens rise, Unix ms. */
export const FIRST_TOKEN = 1_000_000;

/** Session with a fake upstream; collects results and log lines. */
export class SessionFixture {
  readonly clock = new FakeClock();
  readonly upstream = new FakeUpstream(this.clock);
  readonly results: string[] = [];
  readonly logged: { readonly event: string; readonly fields: Readonly<Record<string, unknown>> }[] = [];
  capacityChanges = 0;
  /** Monotonic time by which the runs of the dispatcher must be over. */
  endLimit = Infinity;
  readonly tokens = new FencingTokens(FIRST_TOKEN, this.clock);
  readonly session = new UpstreamSession(
    buildUpstreamReport({ clockMs: this.upstream.clockMs }),
    'upstream',
    this.upstream,
    this.clock,
    this.tokens,
    { leaseMs: 500, maxLeaseMs: 1_000, stopMs: 50 },
    {
      finish: (task, end, reason) => this.results.push(`${task.order.name.index} ${end} ${reason}`),
      join: () => undefined,
      settle: () => true,
      findOtherLife: () => undefined,
      change: () => undefined,
      changeCapacity: () => void (this.capacityChanges += 1),
      revalidate: () => undefined,
      findEndLimit: () => this.endLimit,
      log: (event, fields) => void this.logged.push({ event, fields }),
    },
  );

  async start(): Promise<void> {
    void this.session.run();
    await this.clock.advance(10);
  }

  /** Reports a capacity for the given number of tasks. */
  report(tasks: number, sequence: number): void {
    const capacity = { ...UPSTREAM_CAPACITY, cpuMilli: tasks * 1_000 };
    const { clockMs } = this.upstream;
    this.session.update(buildUpstreamReport({ clockMs, capacity, sequence }));
  }

  offer(from: number, to: number): void {
    for (let index = from; index <= to; index += 1) this.session.offer(buildStartOrder(index), 'dispatcher');
  }
}
