import { expect } from 'chai';

import { AddressUpstreamApi } from '../../../test/fakes/AddressUpstreamApi.js';
import { FakeClock } from '../../../test/fakes/FakeClock.js';
import { FakeUpstream } from '../../../test/fakes/FakeUpstream.js';
import {
  buildStartOrder,
  buildUpstreamReport,
  UPSTREAM_ADDRESS,
  UPSTREAM_CAPACITY,
} from '../../../test/fakes/upstreamFixtures.js';
import type { UpstreamReport } from '../../ports/UpstreamRegistry.js';
import { FencingTokens } from './FencingTokens.js';
import { UpstreamIncarnations } from './UpstreamIncarnations.js';
import type { UpstreamSession } from './UpstreamSession.js';

const BORN_MS = 1_700_000_000_000;
/** Initial clocks of the first and the next incarnation, ms; the clock restarts with each. */
const FIRST_CLOCK_MS = 500_000;
const NEXT_CLOCK_MS = 20;

const ORDER = buildStartOrder(0);

describe('UpstreamIncarnations', () => {
  let clock: FakeClock;
  let upstream: FakeUpstream;
  let incarnations: UpstreamIncarnations;
  let ends: string[];
  let joined: string[];
  let skipped: unknown[];

  function buildReport(bornAt: number | undefined, sequence: number): UpstreamReport {
    return buildUpstreamReport({ bornAt, sequence, clockMs: upstream.clockMs });
  }

  function findOpen(): UpstreamSession | undefined {
    return incarnations.list().find(({ state }) => state !== 'absent');
  }

  /** Restarts the upstream with the same id and address, without its earlier state. */
  function restart(): void {
    upstream.running.clear();
    upstream.isOver = true;
    upstream.silent = true;
    const next = new FakeUpstream(clock, NEXT_CLOCK_MS);
    next.bornAt = (upstream.bornAt ?? 0) + 1_000;
    next.taskMs = upstream.taskMs;
    upstream = next;
  }

  async function advance(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += 20) {
      await clock.advance(20);
      incarnations.tick(clock.now());
    }
  }

  beforeEach(async () => {
    clock = new FakeClock();
    const unresponsive = new FakeUpstream(clock);
    unresponsive.silent = true;
    upstream = new FakeUpstream(clock, FIRST_CLOCK_MS);
    upstream.bornAt = BORN_MS;
    ends = [];
    joined = [];
    skipped = [];
    const tokens = new FencingTokens(1_000_000, clock);
    incarnations = new UpstreamIncarnations(
      clock,
      tokens,
      { leaseMs: 500, maxLeaseMs: 1_000, stopMs: 50 },
      {
        openApi: ({ address }) =>
          new AddressUpstreamApi(() => (address === UPSTREAM_ADDRESS ? upstream : unresponsive)),
        handleJoined: ({ bornAt }) => void joined.push(String((bornAt ?? 0) - BORN_MS)),
        finish: (task, end) => void ends.push(`${task.order.name.index} ${end}`),
        change: () => undefined,
        changeCapacity: () => undefined,
        revalidate: () => undefined,
        findEndLimit: () => Infinity,
        log: (event, { reason }) => void (event === 'report-passed-over' && skipped.push(reason)),
      },
    );
    incarnations.handleReport(buildReport(BORN_MS, 40));
    await advance(60);
  });

  afterEach(() => {
    for (const session of incarnations.list()) session.close('test ends');
  });

  it('accept a report of the next incarnation that it drains, although its sequence numbers restart', async () => {
    restart();
    incarnations.handleReport(buildReport(upstream.bornAt, 1));
    await advance(60);
    expect(findOpen()?.state).to.equal('ready');
    incarnations.handleReport({ ...buildReport(upstream.bornAt, 2), isDraining: true });
    expect(findOpen()?.state).to.equal('draining');
    findOpen()?.offer(ORDER, 'dispatcher');
    await advance(100);
    expect(upstream.starts).to.equal(0);
  });

  it('apply ends listed by the next incarnation, although their sequence numbers restart', async () => {
    for (let index = 0; index < 3; index += 1) {
      findOpen()?.offer(buildStartOrder(index), 'dispatcher');
    }
    await advance(300);
    restart();
    incarnations.handleReport(buildReport(upstream.bornAt, 1));
    await advance(60);
    findOpen()?.offer(buildStartOrder(3), 'dispatcher');
    await advance(300);
    expect(ends).to.deep.equal(['0 done', '1 done', '2 done', '3 done']);
  });

  it('find the next incarnation by its answer, and give it no work until it reports its capacity', async () => {
    restart();
    await advance(700);
    expect(findOpen()?.state).to.equal('joining');
    incarnations.handleReport({
      ...buildReport(upstream.bornAt, 1),
      capacity: { ...UPSTREAM_CAPACITY, cpuMilli: 500 },
    });
    expect([findOpen()?.state, findOpen()?.free.cpuMilli]).to.deep.equal(['ready', 500]);
    expect(joined).to.deep.equal(['0', '1000']);
  });

  it('finish a task as lost only once the next incarnation, which its start has reached, no longer runs it', async () => {
    upstream.taskMs = 5_000;
    restart();
    findOpen()?.offer(ORDER, 'dispatcher');
    await advance(20);
    expect(upstream.running.size).to.equal(1);
    upstream.silent = true;
    incarnations.handleReport(buildReport(upstream.bornAt, 1));
    await advance(100);
    expect(ends).to.deep.equal([]);
    upstream.silent = false;
    await advance(200);
    expect(ends).to.deep.equal(['0 lost']);
    expect(upstream.running.size).to.equal(0);
  });

  it('give the next incarnation work only once a later call shows that it runs nothing of the earlier one', async () => {
    upstream.taskMs = 5_000;
    findOpen()?.offer(ORDER, 'dispatcher');
    await advance(60);
    restart();
    incarnations.handleReport(buildReport(upstream.bornAt, 1));
    await clock.advance(1);
    const next = incarnations.list().find(({ bornAt }) => bornAt === upstream.bornAt);
    expect([upstream.renewals > 0, next?.state, ends]).to.deep.equal([true, 'joining', []]);
    await advance(60);
    expect([next?.state, ends]).to.deep.equal(['ready', ['0 lost']]);
  });

  it('raise the token above that of the earlier incarnation, which the next one has already accepted', async () => {
    restart();
    await advance(700);
    expect(upstream.token).to.be.greaterThan(NEXT_CLOCK_MS + 1_000);
    incarnations.handleReport(buildReport(upstream.bornAt, 1));
    await advance(60);
    findOpen()?.offer(ORDER, 'dispatcher');
    await advance(200);
    expect(ends).to.deep.equal(['0 done']);
  });

  it('finish the tasks of an earlier incarnation if the next one is unreachable as well', async () => {
    upstream.taskMs = 5_000;
    findOpen()?.offer(ORDER, 'dispatcher');
    await advance(60);
    restart();
    upstream.silent = true;
    incarnations.handleReport(buildReport(upstream.bornAt, 1));
    await advance(3_000);
    expect(ends).to.deep.equal(['0 lost']);
  });

  it('skip reports of an earlier incarnation, and those without a start time', async () => {
    restart();
    incarnations.handleReport(buildReport(upstream.bornAt, 1));
    await advance(60);
    incarnations.handleReport({ ...buildReport(BORN_MS, 99), isDraining: true });
    incarnations.handleReport({ ...buildReport(undefined, 99), isDraining: true });
    incarnations.handleReport({ ...buildReport(upstream.bornAt, 99), address: '127.0.0.1:9' });
    incarnations.handleReport({ ...buildReport(upstream.bornAt, 99), service: 'other' });
    const elsewhere = 'of another place';
    expect(skipped).to.deep.equal(['of an earlier life', 'of an earlier life', elsewhere, elsewhere]);
    expect(findOpen()?.state).to.equal('ready');
  });

  it('continue with the answering incarnation if a later one is reported that does not answer', async () => {
    findOpen()?.offer({ ...ORDER, estimateMs: 300 }, 'dispatcher');
    await advance(40);
    incarnations.handleReport({ ...buildReport(BORN_MS + 5_000, 1), address: '127.0.0.1:9' });
    await advance(40);
    incarnations.handleReport({ ...buildReport(BORN_MS, 41), isDraining: true });
    expect(findOpen()?.bornAt).to.equal(BORN_MS);
    expect(findOpen()?.state).to.equal('draining');
    await advance(300);
    expect(ends).to.deep.equal(['0 done']);
    expect(incarnations.list().map(({ bornAt }) => bornAt)).to.deep.equal([BORN_MS]);
  });

  it('use the address that an incarnation reports instead of an earlier one that never answered', async () => {
    restart();
    incarnations.handleReport({ ...buildReport(upstream.bornAt, 1), address: '127.0.0.1:9' });
    incarnations.handleReport(buildReport(upstream.bornAt, 2));
    await advance(60);
    expect(findOpen()?.newestReport.address).to.equal(UPSTREAM_ADDRESS);
    expect(findOpen()?.state).to.equal('ready');
  });

  it('end only when their own incarnation leaves', async () => {
    restart();
    incarnations.handleReport(buildReport(upstream.bornAt, 1));
    await advance(60);
    incarnations.handleLeave('u1', BORN_MS);
    incarnations.handleLeave('u2', undefined);
    expect(findOpen()?.state).to.equal('ready');
    incarnations.handleLeave('u1', upstream.bornAt);
    expect(findOpen()).to.equal(undefined);
  });

  // Guards against reports that are skipped for good after one whose number or clock is far too high.
  for (const odd of [{ sequence: Number.MAX_SAFE_INTEGER }, { clockMs: 3_000_000_000 }]) {
    it(`follow their upstream after a report of another writer with ${JSON.stringify(odd)}`, async () => {
      incarnations.handleReport({ ...buildReport(BORN_MS, 41), ...odd });
      await advance(300);
      const capacity = { ...UPSTREAM_CAPACITY, cpuMilli: 1_000 };
      incarnations.handleReport({ ...buildReport(BORN_MS, 42), capacity });
      expect(findOpen()?.free).to.deep.equal(capacity);
    });
  }

  // Guards against an upstream without start times that is left for good, as a report of another writer named one.
  it('follow an upstream without start times after a report with one', async () => {
    incarnations.handleLeave('u1', undefined);
    restart();
    upstream.bornAt = undefined;
    incarnations.handleReport(buildReport(Number.MAX_SAFE_INTEGER, 1));
    await advance(60);
    incarnations.handleReport(buildReport(undefined, 2));
    await advance(60);
    expect(findOpen()?.state).to.equal('ready');
    incarnations.handleReport(buildReport(Number.MAX_SAFE_INTEGER, 3));
    await advance(60);
    incarnations.handleReport({ ...buildReport(undefined, 4), isDraining: true });
    expect(incarnations.list().map(({ bornAt, state }) => [bornAt, state])).to.deep.equal([
      [undefined, 'draining'],
    ]);
  });

  describe('from the store', () => {
    const askedAt = (): number => clock.now();

    beforeEach(() => {
      incarnations.handleLeave('u1', undefined);
      restart();
      joined.length = 0;
    });

    function confirm(cpuMilli: number, ageMs = 0): void {
      const capacity = { ...UPSTREAM_CAPACITY, cpuMilli };
      incarnations.handleEarlierCapacity({ upstream: 'u1', capacity, ageMs }, askedAt());
    }

    it('take no work until their capacity is confirmed, before or after they are recalled', async () => {
      incarnations.recall(buildReport(upstream.bornAt, 9));
      await advance(60);
      expect(findOpen()?.state).to.equal('joining');
      confirm(1_000);
      expect([findOpen()?.state, findOpen()?.free.cpuMilli]).to.deep.equal(['ready', 1_000]);
      findOpen()?.close('test');
      await advance(20);
      incarnations.recall(buildReport(upstream.bornAt, 9));
      await advance(60);
      expect([findOpen()?.state, findOpen()?.free.cpuMilli]).to.deep.equal(['ready', 1_000]);
    });

    it('take no more work once the confirmed capacity is old, until they report', async () => {
      incarnations.recall(buildReport(upstream.bornAt, 9));
      confirm(1_000, 2_000);
      await advance(900);
      expect(findOpen()?.state).to.equal('ready');
      await advance(200);
      expect(findOpen()?.state).to.equal('joining');
      incarnations.handleReport(buildReport(upstream.bornAt, 1));
      expect([findOpen()?.state, findOpen()?.free]).to.deep.equal(['ready', UPSTREAM_CAPACITY]);
    });

    it('are not saved again before they report', async () => {
      incarnations.recall(buildReport(upstream.bornAt, 9));
      confirm(1_000);
      await advance(60);
      expect(joined).to.deep.equal([]);
      incarnations.handleReport(buildReport(upstream.bornAt, 1));
      expect(joined).to.deep.equal([String(1_000)]);
    });

    it('take no work if another incarnation answers', async () => {
      incarnations.recall(buildReport(BORN_MS, 9));
      confirm(1_000);
      await advance(200);
      confirm(1_000);
      await advance(200);
      expect(findOpen()?.bornAt).to.equal(upstream.bornAt);
      expect(findOpen()?.state).to.equal('joining');
    });
  });

  it('are identified by the id if no start time is reported', async () => {
    incarnations.handleLeave('u1', undefined);
    restart();
    upstream.bornAt = undefined;
    const late = { ...buildReport(undefined, 4), isDraining: true };
    incarnations.handleReport(buildReport(undefined, 5));
    await advance(60);
    incarnations.handleReport(late);
    expect(findOpen()?.state).to.equal('ready');
    incarnations.handleReport({ ...buildReport(undefined, 6), isDraining: true });
    expect(findOpen()?.state).to.equal('draining');
  });
});
