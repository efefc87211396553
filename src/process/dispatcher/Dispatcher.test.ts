import { expect } from 'chai';

import { ROUTE, STEP as ONE_TASK, WIDE_LIMITS } from '../../../test/fakes/dispatchFixtures.js';
import { FakeCaller } from '../../../test/fakes/FakeCaller.js';
import type {
  ExecutorHello,
  AttemptEnd,
  DispatcherMessage,
  CapacityReport,
  StartOrder,
} from '../../connection/peer/peerMessages.js';
import { JobBounds } from '../../request/dispatch/JobBounds.js';
import type { JobSubmission, StepNeed } from '../../request/dispatch/submission.js';
import { Dispatcher } from './Dispatcher.js';
import { SpeedPlacement } from './Placement.js';
import { OpenWindow } from './SendWindow.js';

const STEP: StepNeed = { ...ONE_TASK, count: 2 };
const PING_MS = 100;
const ORPHAN_MS = 1_000;

function buildSubmission(change: Partial<JobSubmission> = {}): JobSubmission {
  return { id: 'job', route: ROUTE, spec: 'text', steps: [STEP], patienceMs: 2_000, ...change };
}

class Bench {
  readonly sent: { agent: string; message: DispatcherMessage }[] = [];
  readonly caller = new FakeCaller();
  readonly dispatcher = new Dispatcher(
    {
      pingMs: PING_MS,
      bounds: new JobBounds(WIDE_LIMITS),
      placement: new SpeedPlacement(1.5),
      window: new OpenWindow(),
      nextRandom: () => 0.5,
    },
    {
      send: (agent, message) => this.sent.push({ agent, message }),
      log: () => undefined,
      noteOutcome: () => undefined,
    },
  );

  link(agent: string, now: number, change: Partial<ExecutorHello> = {}): string {
    const base = { failureDomain: 'x', holding: [], results: [], entryLife: 'me', orphanMs: ORPHAN_MS };
    return this.dispatcher.handleHello(
      { type: 'agent-hello', agent, life: '1', ...base, ...change },
      'me',
      now,
    );
  }

  ping(id: string, now: number, change: Partial<CapacityReport> = {}): void {
    const capacity = { cpuMilli: 4_000, memoryMb: 1_000, gpus: 0 };
    const upstream = `of-${id.split('@')[0]}`;
    const room: CapacityReport = {
      description: { upstream, service: 'service', labels: [], capacity },
      state: 'ready',
      trust: 'healthy',
      free: capacity,
      startsSeen: 1_000,
      speed: 1,
      ...change,
    };
    this.dispatcher.handlePing(id, { type: 'ping', version: 1, at: now, room, progress: [] }, now);
  }

  submit(now: number, change: Partial<JobSubmission> = {}): void {
    this.dispatcher.submit(buildSubmission(change), this.caller, now);
    this.dispatcher.place(now);
  }

  get starts(): { agent: string; order: StartOrder }[] {
    return this.sent.flatMap(({ agent, message }) =>
      message.type === 'start' ? [{ agent, order: message }] : [],
    );
  }

  get stops(): number {
    return this.sent.filter(({ message }) => message.type === 'stop').length;
  }

  end(at: number, end: AttemptEnd, now: number): void {
    const start = this.starts[at];
    if (!start) throw new Error('there is no such start');
    const result = { type: 'result', name: start.order.name, end, reason: 'test' } as const;
    this.dispatcher.handleResult(start.agent, result, now);
    this.dispatcher.place(now);
  }
}

describe('Dispatcher', () => {
  let bench: Bench;

  beforeEach(() => {
    bench = new Bench();
    bench.ping(bench.link('a', 0), 0);
  });

  // The first message of an agent's earlier life, held up by a cut, came after its newer life had linked.
  it('goes on using an agent when the greeting of its earlier life comes late', () => {
    const newer = bench.link('a', 0, { life: '2' });
    bench.ping(newer, 1);
    bench.link('a', 2, { life: '1' });
    bench.ping(newer, 3);
    bench.submit(4);
    expect(bench.starts.map(({ agent }) => agent)).to.deep.equal([newer, newer]);
  });

  it('completes a job when all tasks are done', () => {
    bench.submit(10);
    bench.end(0, 'done', 100);
    expect(bench.caller.answers).to.deep.equal([]);
    bench.end(1, 'done', 120);
    expect(bench.caller.answers).to.deep.equal([{ kind: 'completed' }]);
    expect(bench.dispatcher.openJobs).to.equal(0);
  });

  it('starts a step only after the steps before it are done', () => {
    bench.submit(10, { steps: [STEP, { ...STEP, count: 1, after: [0] }] });
    expect(bench.starts.length).to.equal(2);
    bench.end(0, 'done', 100);
    bench.end(1, 'done', 120);
    expect(bench.starts[2]?.order.name).to.include({ step: 1, index: 0 });
  });

  it('does not call a job failed that has only run out of time', () => {
    bench.submit(10);
    bench.ping('a@1', 1_950);
    bench.dispatcher.tick(1_990);
    expect(bench.caller.answers).to.deep.equal([{ kind: 'interrupted', reason: 'deadline' }]);
    expect(bench.stops).to.equal(2);
  });

  it('calls a job failed after the attempts of the queue have failed', () => {
    bench.submit(10, { steps: [{ ...STEP, count: 1 }] });
    bench.end(0, 'failed', 20);
    expect(bench.starts.length).to.equal(2);
    bench.end(1, 'failed', 30);
    expect(bench.caller.answers).to.deep.equal([{ kind: 'failed', reason: 'attempts' }]);
  });

  it('refuses at once, without a start, a job whose caller waits for less than its work takes', () => {
    bench.submit(10, { patienceMs: 60 });
    expect(bench.caller.answers.map(({ kind }) => kind)).to.deep.equal(['refused']);
    expect(bench.starts).to.deep.equal([]);
  });

  it('refuses at once a job that nobody has started and that cannot be done in time', () => {
    bench.ping('a@1', 0, { state: 'draining' });
    bench.submit(10, { patienceMs: 200, steps: [{ ...STEP, estimateMs: 190 }] });
    bench.dispatcher.tick(80);
    expect(bench.caller.answers).to.deep.equal([
      { kind: 'refused', reason: 'cannot-finish', retryAfterMs: 1_000 },
    ]);
  });

  it('refuses, well before its caller gives up, a job that nobody could take', () => {
    bench.ping('a@1', 0, { state: 'draining' });
    bench.submit(0, { patienceMs: 4_000, steps: [{ ...STEP, estimateMs: 1_500 }] });
    bench.dispatcher.tick(1_500);
    expect(bench.caller.answers).to.deep.equal([]);
    bench.dispatcher.tick(1_650);
    expect(bench.caller.answers.map(({ kind }) => kind)).to.deep.equal(['refused']);
  });

  it('refuses a job that nobody could take once its answer would be of no use', () => {
    bench.ping('a@1', 0, { state: 'draining' });
    bench.submit(0, { patienceMs: 4_000 });
    bench.dispatcher.tick(570);
    expect(bench.caller.answers).to.deep.equal([]);
    bench.dispatcher.tick(590);
    expect(bench.caller.answers.map(({ kind }) => kind)).to.deep.equal(['refused']);
  });

  it('stops what runs when the caller is gone, and starts nothing of the job again', () => {
    bench.submit(10);
    bench.dispatcher.abandon('job', bench.caller, 50);
    expect(bench.stops).to.equal(2);
    bench.end(0, 'stopped', 60);
    bench.end(1, 'stopped', 60);
    expect(bench.starts.length).to.equal(2);
  });

  it('runs a job that is submitted again only after everything of the earlier submission has ended', () => {
    bench.submit(10);
    const again = new FakeCaller();
    bench.dispatcher.submit(buildSubmission(), again, 100);
    bench.dispatcher.place(100);
    expect(bench.starts.length).to.equal(2);
    bench.end(0, 'stopped', 150);
    bench.end(1, 'stopped', 150);
    expect(bench.starts.length).to.equal(4);
  });

  it('takes no late result of an earlier submission for one of the newest', () => {
    const steps = [{ ...STEP, count: 1 }];
    bench.submit(10, { steps });
    bench.dispatcher.abandon('job', bench.caller, 20);
    bench.dispatcher.tick(1_100);
    bench.ping('a@1', 1_110);
    bench.submit(1_120, { steps });
    expect(bench.starts.length).to.equal(2);
    bench.end(0, 'not-run', 1_130);
    bench.ping('a@1', 1_150);
    bench.dispatcher.place(1_150);
    expect(bench.starts.length).to.equal(2);
  });

  it('waits for the orphan time of a silent agent before it starts its tasks elsewhere', () => {
    bench.submit(10);
    bench.ping(bench.link('b', 20), 20);
    bench.dispatcher.handleClose('a@1', 'reset', 100);
    for (let now = 100; now <= 1_000; now += 50) {
      bench.ping('b@1', now);
      bench.dispatcher.tick(now);
      bench.dispatcher.place(now);
    }
    expect(bench.starts.length).to.equal(2);
    bench.ping('b@1', 1_010);
    bench.dispatcher.tick(1_010);
    bench.dispatcher.place(1_010);
    expect(bench.starts.slice(2).map(({ agent }) => agent)).to.deep.equal(['b@1', 'b@1']);
  });

  it('starts tasks of an earlier life of an agent again once the next life takes work', () => {
    bench.submit(10);
    const id = bench.link('a', 300, { life: '2' });
    bench.ping(id, 310, { state: 'joining' });
    bench.dispatcher.place(310);
    expect(bench.starts.length).to.equal(2);
    bench.ping(id, 400);
    bench.dispatcher.place(400);
    expect(bench.starts.slice(2).map(({ agent }) => agent)).to.deep.equal(['a@2', 'a@2']);
  });

  it('takes results that were told on a broken link, and loses what is not held any more', () => {
    bench.submit(10);
    const [first, second] = bench.starts;
    if (!first || !second) throw new Error('two starts');
    bench.dispatcher.handleClose('a@1', 'reset', 50);
    const result = { type: 'result', name: first.order.name, end: 'done', reason: 'done' } as const;
    bench.link('a', 60, { results: [result] });
    bench.ping('a@1', 61);
    bench.dispatcher.place(61);
    expect(bench.starts.length).to.equal(3);
    expect(bench.starts[2]?.order.name).to.include({ job: 'job', index: second.order.name.index });
  });

  it('has an agent stop what it still holds of a job that ended while the link was down', () => {
    bench.submit(10, { steps: [{ ...STEP, count: 1 }] });
    const [start] = bench.starts;
    if (!start) throw new Error('one start');
    bench.dispatcher.handleClose('a@1', 'reset', 50);
    bench.dispatcher.abandon('job', bench.caller, 60);
    const stray = { job: 'unknown', step: 0, index: 0, attempt: 1 };
    const before = bench.sent.length;
    bench.link('a', 100, { holding: [start.order.name, stray] });
    expect(bench.sent.slice(before).map(({ message }) => message)).to.deep.equal([
      { type: 'stop', name: start.order.name },
      { type: 'stop', name: stray },
    ]);
  });

  it('ignores the result of an attempt that is not the newest', () => {
    bench.submit(10, { steps: [{ ...STEP, count: 1 }] });
    bench.end(0, 'lost', 20);
    bench.end(0, 'done', 30);
    expect(bench.caller.answers).to.deep.equal([]);
    bench.end(1, 'done', 40);
    expect(bench.caller.answers).to.deep.equal([{ kind: 'completed' }]);
  });

  it('sends nothing to an agent whose pings are old', () => {
    bench.submit(300);
    expect(bench.starts).to.deep.equal([]);
  });

  it('never sends more than the room that was told, less what is on its way', () => {
    bench.ping('a@1', 5, { startsSeen: 0 });
    bench.submit(10, { steps: [{ ...STEP, count: 6 }] });
    expect(bench.starts.length).to.equal(4);
  });

  it('takes the room of an attempt that has ended for free before it is told so', () => {
    bench.ping('a@1', 5, { startsSeen: 0 });
    bench.submit(10, { steps: [{ ...STEP, count: 6 }] });
    bench.end(0, 'done', 20);
    expect(bench.starts.length).to.equal(5);
    bench.ping('a@1', 30, { startsSeen: 5, free: { cpuMilli: 0, memoryMb: 0, gpus: 0 } });
    bench.dispatcher.place(30);
    expect(bench.starts.length).to.equal(5);
  });

  it('waits to be told the room after an attempt that was not run', () => {
    bench.ping('a@1', 5, { startsSeen: 0 });
    bench.submit(10, { steps: [{ ...STEP, count: 6 }] });
    bench.end(0, 'not-run', 20);
    bench.dispatcher.place(60);
    expect(bench.starts.length).to.equal(4);
  });

  describe('while a failure domain is emptied', () => {
    it('places nothing there, also where an agent links later, and refuses what fits nowhere else', () => {
      const bench = new Bench();
      const north = bench.link('a1', 0, { failureDomain: 'north' });
      bench.ping(north, 0);
      bench.dispatcher.setEmptied(['north']);
      const later = bench.link('a2', 0, { failureDomain: 'north' });
      bench.ping(later, 0);
      expect(bench.dispatcher.hasExecutors(0)).to.equal(false);
      bench.submit(0, { patienceMs: 300 });
      bench.dispatcher.tick(250);
      expect(bench.starts).to.deep.equal([]);
      expect(bench.caller.answers[0]?.kind).to.equal('refused');
    });

    it('lets what runs there end, and answers the job whole', () => {
      const bench = new Bench();
      const north = bench.link('a1', 0, { failureDomain: 'north' });
      bench.ping(north, 0);
      bench.submit(0);
      bench.dispatcher.setEmptied(['north']);
      for (const { order } of bench.starts)
        bench.dispatcher.handleResult(
          north,
          { type: 'result', name: order.name, end: 'done', reason: '' },
          50,
        );
      expect(bench.stops).to.equal(0);
      expect(bench.caller.answers).to.deep.equal([{ kind: 'completed' }]);
    });

    it('places there again once it is taken back', () => {
      const bench = new Bench();
      const north = bench.link('a1', 0, { failureDomain: 'north' });
      bench.ping(north, 0);
      bench.dispatcher.setEmptied(['north', 'south']);
      bench.dispatcher.setEmptied(['south']);
      bench.submit(10);
      expect(bench.starts).to.have.length(2);
    });
  });
});
