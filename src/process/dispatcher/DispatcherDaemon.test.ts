import { setTimeout as sleep } from 'node:timers/promises';

import { expect } from 'chai';

import { ROUTE, STEP } from '../../../test/fakes/dispatchFixtures.js';
import { FakeCaller } from '../../../test/fakes/FakeCaller.js';
import { CallerGateway } from '../../ports/CallerGateway.js';
import { ConfigurationSource } from '../../ports/ConfigurationSource.js';
import type { JobSubmission } from '../../request/dispatch/submission.js';
import { checkDispatchSettings } from '../settings/readDispatchSettings.js';
import { DispatcherDaemon } from './DispatcherDaemon.js';

/** Longer than the gap from which a process counts as paused, ms. */
const PAUSE_MS = 300;
/** Time after a pause in which submissions are held, ms. */
const STALE_MS = 2_000;
/** Shorter than that gap, ms. */
const INPUT_MS = 50;
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
  return new DispatcherDaemon(check.settings, { gateway: new SilentGateway(), source: new SilentSource() });
}

function buildSubmission(id: string): JobSubmission {
  return { id, route: { ...ROUTE, targetLatencyMs: 60_000 }, spec: '', steps: [STEP], patienceMs: 60_000 };
}

/** Keeps the event loop busy, as a pause of the process does. */
function block(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
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
    await waitTurns(10);
    expect([first.answers, second.answers]).to.deep.equal([[SUPERSEDED], []]);
  });

  // Guards against a job that is started for a caller that has left, as it was the first input after a pause.
  it('holds also the first submission that it reads', async () => {
    const caller = new FakeCaller();
    block(PAUSE_MS);
    daemon.submit(buildSubmission('job'), caller);
    await waitTurns(4);
    daemon.abandon('job', caller);
    await waitTurns(10);
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
