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
/** Clock of the first life, and of the next: it begins anew. */
const FIRST_CLOCK_MS = 500_000;
const NEXT_CLOCK_MS = 20;

const ORDER = buildStartOrder(0);

describe('UpstreamLives', () => {
  let clock: FakeClock;
  let upstream: FakeUpstream;
  let lives: UpstreamIncarnations;
  let ends: string[];
  let joined: string[];
  let passedOver: unknown[];

  function buildReport(bornAt: number | undefined, sequence: number): UpstreamReport {
    return buildUpstreamReport({ bornAt, sequence, clockMs: upstream.clockMs });
  }

  function findOpen(): UpstreamSession | undefined {
    return lives.list().find(({ state }) => state !== 'absent');
  }

  /** The upstream starts again under its id and address, and knows nothing of before. */
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
      lives.tick(clock.now());
    }
  }

  beforeEach(async () => {
    clock = new FakeClock();
    const nobody = new FakeUpstream(clock);
    nobody.silent = true;
    upstream = new FakeUpstream(clock, FIRST_CLOCK_MS);
    upstream.bornAt = BORN_MS;
    ends = [];
    joined = [];
    passedOver = [];
    const tokens = new FencingTokens(1_000_000, clock);
    lives = new UpstreamIncarnations(
      clock,
      tokens,
      { leaseMs: 500, maxLeaseMs: 1_000, stopMs: 50 },
      {
        openApi: ({ address }) =>
          new AddressUpstreamApi(() => (address === UPSTREAM_ADDRESS ? upstream : nobody)),
        handleJoined: ({ bornAt }) => void joined.push(String((bornAt ?? 0) - BORN_MS)),
        finish: (task, end) => void ends.push(`${task.order.name.index} ${end}`),
        change: () => undefined,
        changeCapacity: () => undefined,
        revalidate: () => undefined,
        log: (event, { reason }) => void (event === 'report-passed-over' && passedOver.push(reason)),
      },
    );
    lives.handleReport(buildReport(BORN_MS, 40));
    await advance(60);
  });

  afterEach(() => {
    for (const session of lives.list()) session.close('test ends');
  });

  it('take the word of a next life that it leaves, though its numbers begin anew', async () => {
    restart();
    lives.handleReport(buildReport(upstream.bornAt, 1));
    await advance(60);
    expect(findOpen()?.state).to.equal('ready');
    lives.handleReport({ ...buildReport(upstream.bornAt, 2), isDraining: true });
    expect(findOpen()?.state).to.equal('draining');
    findOpen()?.offer(ORDER, 'entry');
    await advance(100);
    expect(upstream.starts).to.equal(0);
  });

  it('take ends of a next life, though their numbers begin anew', async () => {
    for (let index = 0; index < 3; index += 1) {
      findOpen()?.offer(buildStartOrder(index), 'entry');
    }
    await advance(300);
    restart();
    lives.handleReport(buildReport(upstream.bornAt, 1));
    await advance(60);
    findOpen()?.offer(buildStartOrder(3), 'entry');
    await advance(300);
    expect(ends).to.deep.equal(['0 done', '1 done', '2 done', '3 done']);
  });

  it('find a next life by its answer, and give it no work until it has said what it has', async () => {
    restart();
    await advance(700);
    expect(findOpen()?.state).to.equal('joining');
    lives.handleReport({
      ...buildReport(upstream.bornAt, 1),
      capacity: { ...UPSTREAM_CAPACITY, cpuMilli: 500 },
    });
    expect([findOpen()?.state, findOpen()?.free.cpuMilli]).to.deep.equal(['ready', 500]);
    expect(joined).to.deep.equal(['0', '1000']);
  });

  it('tell that a task is lost only once a next life, which its start has reached, runs it no more', async () => {
    upstream.taskMs = 5_000;
    restart();
    findOpen()?.offer(ORDER, 'entry');
    await advance(20);
    expect(upstream.running.size).to.equal(1);
    upstream.silent = true;
    lives.handleReport(buildReport(upstream.bornAt, 1));
    await advance(100);
    expect(ends).to.deep.equal([]);
    upstream.silent = false;
    await advance(200);
    expect(ends).to.deep.equal(['0 lost']);
    expect(upstream.running.size).to.equal(0);
  });

  it('have a next life take work only once a call that was sent since has found nothing of the earlier one', async () => {
    upstream.taskMs = 5_000;
    findOpen()?.offer(ORDER, 'entry');
    await advance(60);
    restart();
    lives.handleReport(buildReport(upstream.bornAt, 1));
    await clock.advance(1);
    const next = lives.list().find(({ bornAt }) => bornAt === upstream.bornAt);
    expect([upstream.renewals > 0, next?.state, ends]).to.deep.equal([true, 'joining', []]);
    await advance(60);
    expect([next?.state, ends]).to.deep.equal(['ready', ['0 lost']]);
  });

  it('have a next life take calls though it has taken one with the token of the earlier life', async () => {
    restart();
    await advance(700);
    expect(upstream.token).to.be.greaterThan(NEXT_CLOCK_MS + 1_000);
    lives.handleReport(buildReport(upstream.bornAt, 1));
    await advance(60);
    findOpen()?.offer(ORDER, 'entry');
    await advance(200);
    expect(ends).to.deep.equal(['0 done']);
  });

  it('end what an earlier life ran when the next one is not to be reached either', async () => {
    upstream.taskMs = 5_000;
    findOpen()?.offer(ORDER, 'entry');
    await advance(60);
    restart();
    upstream.silent = true;
    lives.handleReport(buildReport(upstream.bornAt, 1));
    await advance(3_000);
    expect(ends).to.deep.equal(['0 lost']);
  });

  it('pass over reports of an earlier life, and those that name none', async () => {
    restart();
    lives.handleReport(buildReport(upstream.bornAt, 1));
    await advance(60);
    lives.handleReport({ ...buildReport(BORN_MS, 99), isDraining: true });
    lives.handleReport({ ...buildReport(undefined, 99), isDraining: true });
    lives.handleReport({ ...buildReport(upstream.bornAt, 99), address: '127.0.0.1:9' });
    lives.handleReport({ ...buildReport(upstream.bornAt, 99), service: 'other' });
    const place = 'of another place';
    expect(passedOver).to.deep.equal(['of an earlier life', 'of an earlier life', place, place]);
    expect(findOpen()?.state).to.equal('ready');
  });

  it('go on with the life that answers when a later one is reported that does not', async () => {
    findOpen()?.offer({ ...ORDER, estimateMs: 300 }, 'entry');
    await advance(40);
    lives.handleReport({ ...buildReport(BORN_MS + 5_000, 1), address: '127.0.0.1:9' });
    await advance(40);
    lives.handleReport({ ...buildReport(BORN_MS, 41), isDraining: true });
    expect(findOpen()?.bornAt).to.equal(BORN_MS);
    expect(findOpen()?.state).to.equal('draining');
    await advance(300);
    expect(ends).to.deep.equal(['0 done']);
    expect(lives.list().map(({ bornAt }) => bornAt)).to.deep.equal([BORN_MS]);
  });

  it('take the place that a life reports for that of a report which it has never answered', async () => {
    restart();
    lives.handleReport({ ...buildReport(upstream.bornAt, 1), address: '127.0.0.1:9' });
    lives.handleReport(buildReport(upstream.bornAt, 2));
    await advance(60);
    expect(findOpen()?.newestReport.address).to.equal(UPSTREAM_ADDRESS);
    expect(findOpen()?.state).to.equal('ready');
  });

  it('end with the word of their own life only', async () => {
    restart();
    lives.handleReport(buildReport(upstream.bornAt, 1));
    await advance(60);
    lives.handleLeave('u1', BORN_MS);
    lives.handleLeave('u2', undefined);
    expect(findOpen()?.state).to.equal('ready');
    lives.handleLeave('u1', upstream.bornAt);
    expect(findOpen()).to.equal(undefined);
  });

  it('know lives by their ids where they tell no start', async () => {
    lives.handleLeave('u1', undefined);
    restart();
    upstream.bornAt = undefined;
    lives.handleReport(buildReport(undefined, 5));
    await advance(60);
    lives.handleReport({ ...buildReport(undefined, 4), isDraining: true });
    expect(findOpen()?.state).to.equal('ready');
    lives.handleReport({ ...buildReport(undefined, 6), isDraining: true });
    expect(findOpen()?.state).to.equal('draining');
  });
});
