import { expect } from 'chai';

import {
  buildSubmission,
  DispatcherFixture,
  ORPHAN_MS,
  STEP,
} from '../../../test/fakes/DispatcherFixture.js';
import { ROUTE } from '../../../test/fakes/dispatchFixtures.js';
import { FakeCaller } from '../../../test/fakes/FakeCaller.js';

describe('Dispatcher', () => {
  let fixture: DispatcherFixture;

  beforeEach(() => {
    fixture = new DispatcherFixture();
    fixture.ping(fixture.link('a', 0), 0);
  });

  // Guards against a late hello of an earlier incarnation that leaves the newer one marked as unlinked.
  it('keeps using an executor when the hello of its earlier incarnation arrives late', () => {
    const newer = fixture.link('a', 0, { life: '2' });
    fixture.ping(newer, 1);
    fixture.link('a', 2, { life: '1' });
    fixture.ping(newer, 3);
    fixture.submit(4);
    expect(fixture.starts.map(({ executorId }) => executorId)).to.deep.equal([newer, newer]);
  });

  it('completes a job when all tasks are done', () => {
    fixture.submit(10);
    fixture.end(0, 'done', 100);
    expect(fixture.caller.answers).to.deep.equal([]);
    fixture.end(1, 'done', 120);
    expect(fixture.caller.answers).to.deep.equal([{ kind: 'completed' }]);
    expect(fixture.dispatcher.openJobs).to.equal(0);
  });

  it('starts a step only after the steps before it are done', () => {
    fixture.submit(10, { steps: [STEP, { ...STEP, count: 1, after: [0] }] });
    expect(fixture.starts.length).to.equal(2);
    fixture.end(0, 'done', 100);
    fixture.end(1, 'done', 120);
    expect(fixture.starts[2]?.order.name).to.include({ step: 1, index: 0 });
  });

  // Guards against a job that runs although it was cancelled before its submission was handled.
  it('refuses a submission that is handled after the cancelling of its job', () => {
    expect(fixture.dispatcher.cancel('job', 10)).to.equal(false);
    fixture.submit(20);
    expect(fixture.starts).to.deep.equal([]);
    expect(fixture.caller.answers).to.deep.equal([
      { kind: 'refused', reason: 'cancelled', retryAfterMs: undefined },
    ]);
  });

  // Guards against a cancelled job that runs anew when its caller, which was answered 504, submits it again.
  it('refuses a cancelled job that is submitted again', () => {
    fixture.submit(10);
    expect(fixture.dispatcher.cancel('job', 20)).to.equal(true);
    fixture.submit(30);
    fixture.end(0, 'stopped', 40);
    fixture.end(1, 'stopped', 40);
    fixture.submit(1_340);
    expect(fixture.starts.length).to.equal(2);
    expect(fixture.caller.answers.map(({ kind }) => kind)).to.deep.equal([
      'interrupted',
      'refused',
      'refused',
    ]);
  });

  // Guards against a caller without an answer, and tasks of a process that stops, as a submission waited beside the jobs.
  it('answers also a submission that waits for the end of earlier tasks when it ends all jobs', () => {
    fixture.submit(10);
    fixture.submit(20);
    fixture.dispatcher.endAll('entry-ends', 30);
    fixture.end(0, 'stopped', 40);
    fixture.end(1, 'stopped', 40);
    expect(fixture.starts.length).to.equal(2);
    expect(fixture.caller.answers).to.deep.equal([
      { kind: 'interrupted', reason: 'submitted-again' },
      { kind: 'refused', reason: 'entry-ends', retryAfterMs: 1_000 },
    ]);
  });

  // Guards against 410 for a job of which a submission waits, and a count of its queue without it.
  it('knows a job whose latest submission waits for the end of earlier tasks', () => {
    fixture.submit(10);
    fixture.submit(20);
    expect(fixture.dispatcher.findState('job')).to.equal('pending');
    expect(fixture.dispatcher.countPending(ROUTE.name)).to.equal(1);
  });

  // Guards against a cancelled job that runs, as its latest submission waited for the end of an earlier one's tasks.
  it('cancels a job whose latest submission waits for the end of earlier tasks', () => {
    fixture.submit(10);
    fixture.submit(20);
    expect(fixture.dispatcher.cancel('job', 30)).to.equal(true);
    fixture.end(0, 'stopped', 40);
    fixture.end(1, 'stopped', 40);
    expect(fixture.starts.length).to.equal(2);
    expect(fixture.caller.answers).to.deep.equal([
      { kind: 'interrupted', reason: 'submitted-again' },
      { kind: 'refused', reason: 'cancelled', retryAfterMs: undefined },
    ]);
    expect(fixture.dispatcher.openJobs).to.equal(0);
  });

  it('interrupts a job that runs past its deadline instead of failing it', () => {
    fixture.submit(10);
    fixture.ping('a@1', 1_950);
    fixture.dispatcher.tick(1_990);
    expect(fixture.caller.answers).to.deep.equal([{ kind: 'interrupted', reason: 'deadline' }]);
    expect(fixture.stops).to.equal(2);
  });

  it('fails a job after the maximum number of attempts', () => {
    fixture.submit(10, { steps: [{ ...STEP, count: 1 }] });
    fixture.end(0, 'failed', 20);
    expect(fixture.starts.length).to.equal(2);
    fixture.end(1, 'failed', 30);
    expect(fixture.caller.answers).to.deep.equal([{ kind: 'failed', reason: 'attempts' }]);
  });

  it('refuses on arrival a job whose caller timeout is shorter than its work', () => {
    fixture.submit(10, { patienceMs: 60 });
    expect(fixture.caller.answers.map(({ kind }) => kind)).to.deep.equal(['refused']);
    expect(fixture.starts).to.deep.equal([]);
  });

  it('refuses a job that has not started and cannot end in time', () => {
    fixture.ping('a@1', 0, { state: 'draining' });
    fixture.submit(10, { patienceMs: 200, steps: [{ ...STEP, estimateMs: 190 }] });
    fixture.dispatcher.tick(80);
    expect(fixture.caller.answers).to.deep.equal([
      { kind: 'refused', reason: 'cannot-finish', retryAfterMs: 1_000 },
    ]);
  });

  it('refuses a job that no executor could take, well before its caller timeout', () => {
    fixture.ping('a@1', 0, { state: 'draining' });
    fixture.submit(0, { patienceMs: 4_000, steps: [{ ...STEP, estimateMs: 1_500 }] });
    fixture.dispatcher.tick(1_500);
    expect(fixture.caller.answers).to.deep.equal([]);
    fixture.dispatcher.tick(1_650);
    expect(fixture.caller.answers.map(({ kind }) => kind)).to.deep.equal(['refused']);
  });

  it('refuses a job that no executor could take, once its answer would be useless', () => {
    fixture.ping('a@1', 0, { state: 'draining' });
    fixture.submit(0, { patienceMs: 4_000 });
    fixture.dispatcher.tick(570);
    expect(fixture.caller.answers).to.deep.equal([]);
    fixture.dispatcher.tick(590);
    expect(fixture.caller.answers.map(({ kind }) => kind)).to.deep.equal(['refused']);
  });

  it('stops running tasks when the caller disconnects, and starts none again', () => {
    fixture.submit(10);
    fixture.dispatcher.abandon('job', fixture.caller, 50);
    expect(fixture.stops).to.equal(2);
    fixture.end(0, 'stopped', 60);
    fixture.end(1, 'stopped', 60);
    expect(fixture.starts.length).to.equal(2);
  });

  it('runs a resubmitted job only after all attempts of the earlier submission have ended', () => {
    fixture.submit(10);
    const again = new FakeCaller();
    fixture.dispatcher.submit(buildSubmission(), again, 100);
    fixture.dispatcher.place(100);
    expect(fixture.starts.length).to.equal(2);
    fixture.end(0, 'stopped', 150);
    fixture.end(1, 'stopped', 150);
    expect(fixture.starts.length).to.equal(4);
  });

  it('ignores a late result of an earlier submission', () => {
    const steps = [{ ...STEP, count: 1 }];
    fixture.submit(10, { steps });
    fixture.dispatcher.abandon('job', fixture.caller, 20);
    fixture.dispatcher.tick(1_100);
    fixture.ping('a@1', 1_110);
    fixture.submit(1_120, { steps });
    expect(fixture.starts.length).to.equal(2);
    fixture.end(0, 'not-run', 1_130);
    fixture.ping('a@1', 1_150);
    fixture.dispatcher.place(1_150);
    expect(fixture.starts.length).to.equal(2);
  });

  it('waits for the orphan timeout of an unresponsive executor before it starts tasks elsewhere', () => {
    fixture.submit(10);
    fixture.ping(fixture.link('b', 20), 20);
    fixture.dispatcher.handleClose('a@1', 'reset', 100);
    for (let now = 100; now <= 1_000; now += 50) {
      fixture.ping('b@1', now);
      fixture.dispatcher.tick(now);
      fixture.dispatcher.place(now);
    }
    expect(fixture.starts.length).to.equal(2);
    fixture.ping('b@1', 1_010);
    fixture.dispatcher.tick(1_010);
    fixture.dispatcher.place(1_010);
    expect(fixture.starts.slice(2).map(({ executorId }) => executorId)).to.deep.equal(['b@1', 'b@1']);
  });

  it('logs which attempt was started elsewhere, and why the one before counted as over', () => {
    fixture.submit(10, { steps: [{ ...STEP, count: 1 }] });
    fixture.ping(fixture.link('b', 20), 20);
    fixture.dispatcher.handleClose('a@1', 'reset', 100);
    fixture.ping('b@1', 1_010);
    fixture.dispatcher.tick(1_010);
    fixture.dispatcher.place(1_020);
    const [over] = fixture.logged.filter(({ event }) => event === 'attempt-over');
    expect(over?.fields).to.include({ attempt: 1, reason: 'agent-silent', sentMs: 1_000, heardMs: 1_010 });
    const [again] = fixture.logged.filter(({ event }) => event === 'place-again');
    expect(again?.fields).to.deep.equal({
      job: 'job',
      task: '0/0',
      attempt: 2,
      agent: 'b@1',
      before: 1,
      beforeAgent: 'a@1',
      end: 'lost',
      reason: 'agent-silent',
      overMs: 10,
    });
  });

  it('restarts tasks of an earlier incarnation of an executor once the next one is ready', () => {
    fixture.submit(10);
    const id = fixture.link('a', 300, { life: '2' });
    fixture.ping(id, 310, { state: 'joining' });
    fixture.dispatcher.place(310);
    expect(fixture.starts.length).to.equal(2);
    fixture.ping(id, 400);
    fixture.dispatcher.place(400);
    expect(fixture.starts.slice(2).map(({ executorId }) => executorId)).to.deep.equal(['a@2', 'a@2']);
  });

  // Guards against a second start of tasks that run, when a message of an earlier incarnation arrives late.
  for (const isHelloLate of [false, true]) {
    it(`keeps the tasks of an executor when a ${isHelloLate ? 'hello' : 'ping'} of its earlier incarnation arrives late`, () => {
      const newer = fixture.link('a', 100, { life: '2' });
      fixture.dispatcher.handleCapacity(
        newer,
        { type: 'room', at: 110, room: fixture.buildCapacity(newer) },
        110,
      );
      fixture.submit(120);
      if (isHelloLate) fixture.link('a', 130, { life: '1' });
      fixture.ping('a@1', 131);
      fixture.dispatcher.place(131);
      expect(fixture.starts.map(({ executorId }) => executorId)).to.deep.equal([newer, newer]);
    });
  }

  // Guards against a second start of tasks that run, when the hello of an earlier link of the same executor arrives late.
  for (const entryLife of ['me', '']) {
    it(`keeps the tasks of an executor when the hello of its earlier link (entryLife "${entryLife}") arrives late`, () => {
      fixture.link('a', 10, { linkNumber: 2 });
      fixture.ping('a@1', 11);
      fixture.ping(fixture.link('b', 11), 11);
      fixture.submit(20);
      expect(fixture.starts).to.have.length(2);
      fixture.link('a', 30, { entryLife, linkNumber: 1 });
      fixture.dispatcher.place(31);
      expect(fixture.starts).to.have.length(2);
    });
  }

  it('accepts results from the hello after a broken link, and restarts attempts that are not held', () => {
    fixture.submit(10);
    const [first, second] = fixture.starts;
    if (!first || !second) throw new Error('two starts');
    fixture.dispatcher.handleClose('a@1', 'reset', 50);
    const result = { type: 'result', name: first.order.name, end: 'done', reason: 'done' } as const;
    fixture.link('a', 60, { results: [result] });
    fixture.ping('a@1', 61);
    fixture.dispatcher.place(61);
    expect(fixture.starts.length).to.equal(3);
    expect(fixture.starts[2]?.order.name).to.include({ job: 'job', index: second.order.name.index });
  });

  it('tells with a stop how long ago the caller may have left', () => {
    fixture.submit(10, { steps: [{ ...STEP, count: 1 }] });
    fixture.inputLagMs = 30;
    fixture.dispatcher.abandon('job', fixture.caller, 60);
    expect(fixture.sent.at(-1)?.message).to.include({ type: 'stop', givenUpMs: 30 });
  });

  it('stops held attempts of a job that ended while the link was down', () => {
    fixture.submit(10, { steps: [{ ...STEP, count: 1 }] });
    const [start] = fixture.starts;
    if (!start) throw new Error('one start');
    fixture.dispatcher.handleClose('a@1', 'reset', 50);
    fixture.dispatcher.abandon('job', fixture.caller, 60);
    const unknown = { job: 'unknown', step: 0, index: 0, attempt: 1 };
    const before = fixture.sent.length;
    fixture.link('a', 100, { holding: [start.order.name, unknown] });
    expect(fixture.sent.slice(before).map(({ message }) => message)).to.deep.equal([
      { type: 'stop', name: start.order.name, givenUpMs: 40 },
      { type: 'stop', name: unknown, givenUpMs: ORPHAN_MS },
    ]);
  });

  it('ignores the result of an attempt that is not the latest', () => {
    fixture.submit(10, { steps: [{ ...STEP, count: 1 }] });
    fixture.end(0, 'lost', 20);
    fixture.end(0, 'done', 30);
    expect(fixture.caller.answers).to.deep.equal([]);
    fixture.end(1, 'done', 40);
    expect(fixture.caller.answers).to.deep.equal([{ kind: 'completed' }]);
  });

  it('sends no task to an executor whose last ping is too old', () => {
    fixture.submit(300);
    expect(fixture.starts).to.deep.equal([]);
  });

  it('never sends more than the reported capacity less the starts in flight', () => {
    fixture.ping('a@1', 5, { startsSeen: 0 });
    fixture.submit(10, { steps: [{ ...STEP, count: 6 }] });
    expect(fixture.starts.length).to.equal(4);
  });

  it('reuses the capacity of an ended attempt before the next report', () => {
    fixture.ping('a@1', 5, { startsSeen: 0 });
    fixture.submit(10, { steps: [{ ...STEP, count: 6 }] });
    fixture.end(0, 'done', 20);
    expect(fixture.starts.length).to.equal(5);
    fixture.ping('a@1', 30, { startsSeen: 5, free: { cpuMilli: 0, memoryMb: 0, gpus: 0 } });
    fixture.dispatcher.place(30);
    expect(fixture.starts.length).to.equal(5);
  });

  it('waits for a capacity report after an attempt that was not run', () => {
    fixture.ping('a@1', 5, { startsSeen: 0 });
    fixture.submit(10, { steps: [{ ...STEP, count: 6 }] });
    fixture.end(0, 'not-run', 20);
    fixture.dispatcher.place(60);
    expect(fixture.starts.length).to.equal(4);
  });

  describe('with an emptied failure domain', () => {
    it('places no task there, also at executors linked later, and refuses jobs that fit nowhere else', () => {
      const fixture = new DispatcherFixture();
      const north = fixture.link('a1', 0, { failureDomain: 'north' });
      fixture.ping(north, 0);
      fixture.dispatcher.setEmptied(['north']);
      const later = fixture.link('a2', 0, { failureDomain: 'north' });
      fixture.ping(later, 0);
      expect(fixture.dispatcher.hasExecutors(0)).to.equal(false);
      fixture.submit(0, { patienceMs: 300 });
      fixture.dispatcher.tick(250);
      expect(fixture.starts).to.deep.equal([]);
      expect(fixture.caller.answers[0]?.kind).to.equal('refused');
    });

    it('lets running tasks there end and completes their job', () => {
      const fixture = new DispatcherFixture();
      const north = fixture.link('a1', 0, { failureDomain: 'north' });
      fixture.ping(north, 0);
      fixture.submit(0);
      fixture.dispatcher.setEmptied(['north']);
      for (const { order } of fixture.starts)
        fixture.dispatcher.handleResult(
          north,
          { type: 'result', name: order.name, end: 'done', reason: '' },
          50,
        );
      expect(fixture.stops).to.equal(0);
      expect(fixture.caller.answers).to.deep.equal([{ kind: 'completed' }]);
    });

    it('places tasks there again once it is restored', () => {
      const fixture = new DispatcherFixture();
      const north = fixture.link('a1', 0, { failureDomain: 'north' });
      fixture.ping(north, 0);
      fixture.dispatcher.setEmptied(['north', 'south']);
      fixture.dispatcher.setEmptied(['south']);
      fixture.submit(10);
      expect(fixture.starts).to.have.length(2);
    });
  });
});
