import { expect } from 'chai';

import { ROUTE, STEP } from '../../../test/fakes/dispatchFixtures.js';
import { FakeCaller } from '../../../test/fakes/FakeCaller.js';
import type { Caller } from '../../ports/CallerGateway.js';
import { HeldSubmissions } from './HeldSubmissions.js';

const TURNS = 6;

describe('HeldSubmissions', () => {
  let handedOver: string[];
  let hasCaughtUp: boolean;
  let held: HeldSubmissions;

  beforeEach(() => {
    handedOver = [];
    hasCaughtUp = true;
    held = new HeldSubmissions(
      () => hasCaughtUp,
      ({ submission }) => void handedOver.push(submission.spec),
    );
  });

  function add(name: string, turns: number, caller: Caller = new FakeCaller()): void {
    const submission = { id: 'job', route: ROUTE, spec: name, steps: [STEP], patienceMs: 1_000 };
    held.add({ submission, caller, readAt: 0 }, turns);
  }

  async function waitTurns(count: number): Promise<void> {
    for (let turn = 0; turn < count; turn += 1) await new Promise(setImmediate);
  }

  it('hands a submission over at once where none is held', () => {
    add('a', 0);
    expect([handedOver, held.size]).to.deep.equal([['a'], 0]);
  });

  // Guards against an earlier submission of a job that replaces a later one, as that was held for less time.
  it('hands submissions over in the order in which they were read', async () => {
    add('first', TURNS);
    add('second', 0);
    expect(handedOver).to.deep.equal([]);
    await waitTurns(TURNS);
    expect(handedOver).to.deep.equal(['first', 'second']);
  });

  it('holds them until pending input has been read, and anew after another pause', async () => {
    add('a', 2);
    await waitTurns(1);
    held.applyPause(TURNS);
    await waitTurns(TURNS - 1);
    hasCaughtUp = false;
    await waitTurns(3);
    expect(handedOver).to.deep.equal([]);
    hasCaughtUp = true;
    await waitTurns(1);
    expect(handedOver).to.deep.equal(['a']);
  });

  // Guards against a caller without an answer, as the process ends while its submission is held.
  it('answers all at the end of the process', async () => {
    const callers = [new FakeCaller(), new FakeCaller()];
    for (const caller of callers) add('a', TURNS, caller);
    held.endAll({ kind: 'refused', reason: 'entry-ends', retryAfterMs: 1 });
    await waitTurns(TURNS + 1);
    expect(callers.map(({ answers }) => answers.length)).to.deep.equal([1, 1]);
    expect(handedOver).to.deep.equal([]);
  });

  it('drops the submission of a caller that has left', async () => {
    const caller = new FakeCaller();
    add('a', TURNS, caller);
    expect([held.abandon(caller), held.abandon(caller)]).to.deep.equal([true, false]);
    await waitTurns(TURNS + 1);
    expect(handedOver).to.deep.equal([]);
  });
});
