import { setTimeout as sleep } from 'node:timers/promises';

import { expect } from 'chai';

import { ROUTE, STEP } from '../../../test/fakes/dispatchFixtures.js';
import { FakeCaller } from '../../../test/fakes/FakeCaller.js';
import { createRandom } from '../../_lib/createRandom.js';
import { CallerGateway } from '../../ports/CallerGateway.js';
import { ConfigurationSource } from '../../ports/ConfigurationSource.js';
import type { JobSubmission } from '../../request/dispatch/submission.js';
import { checkDispatchSettings } from '../settings/readDispatchSettings.js';
import { DispatcherDaemon } from './DispatcherDaemon.js';
import { createInputGuard } from '../../../test/fakes/createInputGuard.js';

/** Longer than the gap from which a process counts as paused, ms. */
const PAUSE_MS = 300;
/** Time after a pause in which submissions are held, ms. */
const STALE_MS = 2_000;
/** Shorter than that gap, ms. */
const INPUT_MS = 50;
/** Runs with random inputs, inputs of each, and kinds of input: a pause, turns, three calls of callers. */
const SEEDS = 12;
const STEPS = 14;
const INPUT_KINDS = 8;
/** Turns of the event loop after which every submission is handled, also after further pauses of a slow machine. */
const ENOUGH_TURNS = 60;
const SUPERSEDED = { kind: 'interrupted', reason: 'submitted-again' };

class SilentGateway extends CallerGateway {
  override async start(): Promise<void> {}
  override applyConfiguration(): void {}
  override async stop(): Promise<void> {}
}

class SilentSource extends ConfigurationSource {
  override start(): void {}
  override stop(): void {}
}

function createDaemon(): DispatcherDaemon {
  const check = checkDispatchSettings({ id: 'a', address: '127.0.0.1', linkPort: 1, logLevel: 'silent' });
  if (!check.ok) throw new Error('invalid settings');
  return new DispatcherDaemon(check.settings, {
    gateway: new SilentGateway(),
    source: new SilentSource(),
    guard: createInputGuard(),
  });
}

function buildSubmission(id: string): JobSubmission {
  return { id, route: { ...ROUTE, targetLatencyMs: 60_000 }, spec: '', steps: [STEP], patienceMs: 60_000 };
}

/** Keeps the event loop busy, as a pause of the process does. */
function block(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
}

/** A job by the inputs that have been read. */
interface ReadJob {
  readonly id: string;
  readonly callers: { readonly caller: FakeCaller; hasLeft: boolean }[];
  isCancelled: boolean;
}

function submit(daemon: DispatcherDaemon, job: ReadJob): void {
  const caller = new FakeCaller();
  job.callers.push({ caller, hasLeft: false });
  daemon.submit(buildSubmission(job.id), caller);
}

function leave(daemon: DispatcherDaemon, job: ReadJob, at: number): void {
  const one = job.callers[at];
  if (!one || one.hasLeft) return;
  one.hasLeft = true;
  daemon.abandon(job.id, one.caller);
}

function cancel(daemon: DispatcherDaemon, job: ReadJob): void {
  job.isCancelled = true;
  daemon.cancel(job.id);
}

/**
 * Checks that of a cancelled job no caller waits, and else the latest one, unless it has left: then an earlier one may wait,
 * as a submission whose caller leaves while it is held replaces none.
 */
function checkOutcome(daemon: DispatcherDaemon, { id, callers, isCancelled }: ReadJob): void {
  const waiting = callers.filter(({ caller, hasLeft }) => !hasLeft && caller.answers.length === 0);
  const last = callers.at(-1);
  expect(daemon.findState(id)).to.equal(waiting.length > 0 ? 'pending' : undefined);
  expect(waiting.length).to.be.at.most(1);
  if (isCancelled) expect(waiting).to.deep.equal([]);
  else if (last && !last.hasLeft) expect(waiting).to.deep.equal([last]);
  for (const { caller } of callers) expect(caller.answers.length).to.be.at.most(1);
}

async function waitTurns(count: number): Promise<void> {
  for (let turn = 0; turn < count; turn += 1) await new Promise(setImmediate);
}

describe('DispatcherDaemon after a pause', function () {
  this.timeout(10_000);
  let daemon: DispatcherDaemon;

  beforeEach(() => {
    daemon = createDaemon();
  });

  function notePause(): void {
    block(PAUSE_MS);
    daemon.abandon('none', new FakeCaller());
  }

  // Guards against an earlier submission of a job that replaces a later one, as that was held for less time.
  it('handles two submissions of a job in the order in which they were read', async () => {
    notePause();
    const pausedAt = performance.now();
    while (performance.now() < pausedAt + STALE_MS - 2 * INPUT_MS) {
      await sleep(INPUT_MS);
      daemon.abandon('none', new FakeCaller());
    }
    const [first, second] = [new FakeCaller(), new FakeCaller()];
    block(pausedAt + STALE_MS - 2 - performance.now());
    daemon.submit(buildSubmission('job'), first);
    block(pausedAt + STALE_MS + 2 - performance.now());
    daemon.submit(buildSubmission('job'), second);
    await waitTurns(ENOUGH_TURNS);
    expect([first.answers, second.answers]).to.deep.equal([[SUPERSEDED], []]);
  });

  // Guards against inputs that overtake each other while they are put off: the outcome is that of the order of reading.
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    it(`handles submissions, ends of connections and cancellings in the order of reading, seed ${seed}`, async () => {
      const nextRandom = createRandom(seed);
      const pick = (count: number): number => Math.floor(nextRandom() * count);
      const read: ReadJob[] = ['a', 'b'].map((id) => ({
        id,
        callers: [],
        open: undefined,
        isCancelled: false,
      }));
      for (let step = 0; step < STEPS; step += 1) {
        const job = read[pick(read.length)] as ReadJob;
        const input = pick(INPUT_KINDS);
        if (input === 0) notePause();
        if (input === 1) await waitTurns(1 + pick(3));
        if (input === 2) cancel(daemon, job);
        if (input === 3) leave(daemon, job, pick(job.callers.length));
        if (input > 3) submit(daemon, job);
      }
      await waitTurns(ENOUGH_TURNS);
      for (const job of read) checkOutcome(daemon, job);
    });
  }

  // Guards against a job that is started for a caller that has left, as it was the first input after a pause.
  it('holds also the first submission that it reads', async () => {
    const caller = new FakeCaller();
    block(PAUSE_MS);
    daemon.submit(buildSubmission('job'), caller);
    await waitTurns(4);
    daemon.abandon('job', caller);
    await waitTurns(ENOUGH_TURNS);
    // A job that had been admitted would be answered now.
    expect(caller.answers).to.deep.equal([]);
  });

  // Guards against answers from the table of jobs alone: 410 for a job that is held, and a count without it.
  it('knows a held submission when asked for its state, its queue and its cancelling', () => {
    const caller = new FakeCaller();
    notePause();
    daemon.submit(buildSubmission('job'), caller);
    expect([daemon.findState('job'), daemon.countPending(ROUTE.name)]).to.deep.equal(['pending', 1]);
    expect(daemon.cancel('job')).to.equal(true);
    expect(caller.answers).to.deep.equal([{ kind: 'refused', reason: 'cancelled', retryAfterMs: undefined }]);
    expect([daemon.findState('job'), daemon.countPending(ROUTE.name)]).to.deep.equal([undefined, 0]);
  });
});
