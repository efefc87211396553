import { expect } from 'chai';

import { FakeTimeline } from '../../test/fakes/FakeTimeline.js';
import type { PeerMessage } from '../connection/peer/peerMessages.js';
import type { PeerChannel } from './VersionExchange.js';
import { CancellationExchange } from './CancellationExchange.js';
import { CancelledJobs } from './CancelledJobs.js';

/** Records the jobs of each message. */
class FakeChannel implements PeerChannel {
  readonly messages: string[][] = [];
  readonly ages: number[] = [];

  send(message: PeerMessage): void {
    if (message.type !== 'cancelled') return;
    this.messages.push(message.jobs.map(({ job }) => job));
    this.ages.push(...message.jobs.map(({ ageMs }) => ageMs));
  }
}

describe('CancellationExchange', () => {
  let timeline: FakeTimeline;
  let cancelled: CancelledJobs;
  let exchange: CancellationExchange;

  beforeEach(() => {
    timeline = new FakeTimeline();
    cancelled = new CancelledJobs(() => undefined, 1_000);
    exchange = new CancellationExchange(cancelled, timeline, () => undefined);
  });

  function cancel(job: string, from?: PeerChannel): void {
    cancelled.record(job, timeline.now());
    exchange.send(job, from);
  }

  it('passes a job on to all dispatchers but the one that sent it', () => {
    const [one, other] = [new FakeChannel(), new FakeChannel()];
    exchange.open(one);
    exchange.open(other);
    cancel('a');
    expect([one.messages, other.messages]).to.deep.equal([[['a']], [['a']]]);
    cancel('b', one);
    expect([one.messages, other.messages]).to.deep.equal([[['a']], [['a'], ['b']]]);
  });

  // Guards against a restarted dispatcher that runs what was cancelled before.
  it('sends a new link all that is remembered, with its age and the newest first', () => {
    cancel('old');
    timeline.runUntil(300);
    cancel('new');
    const channel = new FakeChannel();
    exchange.open(channel);
    expect(channel.messages).to.deep.equal([['new', 'old']]);
    expect(channel.ages).to.deep.equal([0, 300]);
  });

  it('returns and passes on the received jobs that are new, with their age', () => {
    const [one, other] = [new FakeChannel(), new FakeChannel()];
    exchange.open(one);
    exchange.open(other);
    const jobs = [{ job: 'a', ageMs: 30 }];
    expect(exchange.receive({ type: 'cancelled', jobs }, one)).to.deep.equal(jobs);
    expect(exchange.receive({ type: 'cancelled', jobs }, other)).to.deep.equal([]);
    expect([one.messages, other.messages, other.ages]).to.deep.equal([[], [['a']], [30]]);
  });

  it('sends at once what its rate allows, the rest later, and nothing on closed links', () => {
    const [open, closed] = [new FakeChannel(), new FakeChannel()];
    exchange.open(open);
    exchange.open(closed);
    exchange.close(closed);
    for (let number = 0; number < 70; number += 1) cancel(`job${number}`);
    expect(open.messages.flat()).to.have.length(20);
    timeline.runUntil(59);
    expect(open.messages.map(({ length }) => length).slice(20)).to.deep.equal([20, 20]);
    timeline.runUntil(1_000);
    expect([open.messages.flat().length, closed.messages]).to.deep.equal([70, []]);
  });

  it('sends nothing of jobs that are forgotten by then', () => {
    const channel = new FakeChannel();
    exchange.open(channel);
    for (let number = 0; number < 21; number += 1) cancel(`job${number}`);
    cancelled.tick(1_000);
    timeline.runUntil(1_000);
    expect(channel.messages.flat()).to.not.include('job20');
  });
});
