import { expect } from 'chai';

import { createPolicies, ROUTE, STEP } from '../../../test/fakes/dispatchFixtures.js';
import { FakeCaller } from '../../../test/fakes/FakeCaller.js';
import { FakeTimeline } from '../../../test/fakes/FakeTimeline.js';
import type { PeerMessage } from '../../connection/peer/peerMessages.js';
import type { PeerChannel } from '../VersionExchange.js';
import { Dispatcher } from './Dispatcher.js';
import { DispatcherNotices } from './DispatcherNotices.js';

class FakeChannel implements PeerChannel {
  readonly cancelled: string[] = [];
  flushed = 0;

  send(message: PeerMessage): void {
    if (message.type === 'cancelled') this.cancelled.push(...message.jobs.map(({ job }) => job));
  }

  flush(): void {
    this.flushed += 1;
  }
}

describe('DispatcherNotices', () => {
  let dispatcher: Dispatcher;
  let notices: DispatcherNotices;
  let logged: string[];

  beforeEach(() => {
    const timeline = new FakeTimeline();
    logged = [];
    dispatcher = new Dispatcher(
      { pingMs: 100, ...createPolicies(), nextRandom: () => 0.5 },
      { send: () => undefined, log: () => undefined, recordOutcome: () => undefined },
    );
    notices = new DispatcherNotices(dispatcher, timeline, {
      applyInput: (input) => input(timeline.now()),
      log: (event) => void logged.push(event),
    });
  });

  function cancel(job: string): void {
    dispatcher.cancel(job, 0);
    notices.sendCancelled(job);
  }

  it('writes a cancelled job to all dispatchers and two executors before it returns', () => {
    const dispatchers = [new FakeChannel(), new FakeChannel()];
    const executors = [new FakeChannel(), new FakeChannel(), new FakeChannel()];
    for (const channel of dispatchers) notices.open(channel);
    for (const channel of executors) notices.openExecutor(channel);
    cancel('a');
    const told = [...dispatchers, ...executors].map(({ cancelled, flushed }) => [cancelled.length, flushed]);
    expect(told).to.deep.equal([
      [1, 1],
      [1, 1],
      [1, 1],
      [1, 1],
      [0, 0],
    ]);
  });

  // Guards against cancelled jobs that no executor keeps, as those that did are gone.
  it('tells another executor all cancelled jobs once one that keeps them is gone', () => {
    const [one, other, third] = [new FakeChannel(), new FakeChannel(), new FakeChannel()];
    for (const channel of [one, other, third]) notices.openExecutor(channel);
    cancel('a');
    notices.close(one);
    expect([other.cancelled, third.cancelled]).to.deep.equal([['a'], ['a']]);
  });

  it('ends a job that is cancelled elsewhere, and passes that on once', () => {
    const [from, other] = [new FakeChannel(), new FakeChannel()];
    for (const channel of [from, other]) notices.open(channel);
    const caller = new FakeCaller();
    const submission = { id: 'a', route: ROUTE, spec: '', steps: [STEP], patienceMs: 2_000 };
    dispatcher.submit(submission, caller, 0);
    const notice = { type: 'cancelled', jobs: [{ job: 'a', ageMs: 5 }] } as const;
    expect([notices.receive(notice, from), notices.receive(notice, from)]).to.deep.equal([true, true]);
    expect(caller.answers).to.deep.equal([{ kind: 'interrupted', reason: 'cancelled' }]);
    expect([from.cancelled, other.cancelled, logged]).to.deep.equal([[], ['a'], ['cancel-adopted']]);
  });
});
