import { expect } from 'chai';

import { ROUTE, STEP } from '../../../test/fakes/dispatchFixtures.js';
import { FakeCaller } from '../../../test/fakes/FakeCaller.js';
import { ForecastAdmission } from './Admission.js';
import { ExecutorView } from './ExecutorView.js';
import { createDispatchJob, stepTask } from './dispatchJob.js';
import type { DispatchJob, DispatchTask } from './dispatchJob.js';
import type { CapacityView } from './CapacityForecast.js';

const PATIENCE_MS = 1_000;
const NOW = 1_000;
const CAPACITY = { cpuMilli: 2_000, memoryMb: 1_000, gpus: 0 };

function createJob(id: string, count: number, step = STEP): DispatchJob {
  const submission = { id, route: ROUTE, spec: '', steps: [{ ...step, count }], patienceMs: PATIENCE_MS };
  return createDispatchJob(submission, new FakeCaller(), { now: NOW, typicalSpeed: 1, priorityStepMs: 100 });
}

describe('ForecastAdmission', () => {
  let admission: ForecastAdmission;
  let agent: ExecutorView;
  let waiting: DispatchTask[];

  /** Has an agent of two cores, which runs one task of a core in each of them, and has told no room. */
  function fillRoom(free = 0): void {
    const hello = {
      agent: 'a',
      life: '1',
      failureDomain: 'x',
      holding: [],
      results: [],
      entryLife: '',
      orphanMs: 1,
    };
    agent = new ExecutorView({ type: 'agent-hello', ...hello }, NOW);
    const description = { upstream: 'u', service: ROUTE.service, labels: [], capacity: CAPACITY };
    const told = { ...CAPACITY, cpuMilli: free };
    agent.recordCapacity(
      { description, state: 'ready', trust: 'healthy', free: told, startsSeen: 0, speed: 1 },
      NOW,
    );
    for (const task of createJob('running', 2).tasks) sendTask(task);
  }

  function sendTask(task: DispatchTask): void {
    task.agent = agent.id;
    task.sentAt = NOW - STEP.estimateMs;
    stepTask(task, 'send');
    admission.noteSent(task);
  }

  /** Tasks end as fast as they were estimated. */
  function noteEnds(): void {
    for (const task of createJob('ended', 20).tasks) {
      sendTask(task);
      admission.noteEnded(task, true, NOW);
    }
  }

  function queue(job: DispatchJob): DispatchJob {
    admission.noteArrived(job, NOW);
    waiting.push(...job.tasks.filter(({ phase }) => phase === 'waiting'));
    return job;
  }

  function view(now = NOW): CapacityView {
    const listAgents = (): ExecutorView[] => [agent];
    return { now, typicalSpeed: 1, staleMs: 200, listExecutors: listAgents, listWaiting: () => waiting };
  }

  beforeEach(() => {
    admission = new ForecastAdmission(() => 0.5);
    waiting = [];
    fillRoom();
  });

  it('refuses at arrival what the work before it leaves no time for, and keeps what is before', () => {
    noteEnds();
    const first = queue(createJob('first', 4));
    queue(createJob('middle', 20));
    const last = queue(createJob('last', 1));
    expect(admission.findReason(first, view())).to.equal(undefined);
    expect(admission.findReason(last, view())).to.equal('no-room');
  });

  it('keeps all while nothing is known: no end was seen, or no agent is usable', () => {
    queue(createJob('before', 40));
    const job = queue(createJob('job', 1));
    expect(admission.findReason(job, view())).to.equal(undefined);
    noteEnds();
    agent.linked = false;
    expect(admission.findReason(job, view(NOW + 1))).to.equal(undefined);
  });

  it('keeps what fits into room that is free, whatever else waits', () => {
    fillRoom(1_000);
    noteEnds();
    queue(createJob('before', 40));
    expect(admission.findReason(queue(createJob('job', 1)), view())).to.equal(undefined);
  });

  it('keeps what has begun, and what needs a label: others do not wait for that room', () => {
    noteEnds();
    queue(createJob('before', 40));
    const begun = queue(createJob('begun', 1));
    begun.begun = true;
    const labelled = queue(createJob('labelled', 1, { ...STEP, requiredLabel: 'rack' }));
    for (const job of [begun, labelled]) expect(admission.findReason(job, view())).to.equal(undefined);
  });

  it('counts what is refused as gone, so that those behind it are kept', () => {
    noteEnds();
    const wide = queue(createJob('wide', 40));
    const job = queue(createJob('job', 1));
    expect(admission.findReason(job, view())).to.equal('no-room');
    waiting = waiting.filter((task) => task.job !== wide);
    admission.noteRefused(wide);
    expect(admission.findReason(job, view())).to.equal(undefined);
  });

  it('refuses few at one moment: each refusal is judged without what was refused before it', () => {
    noteEnds();
    queue(createJob('before', 60));
    const jobs = Array.from({ length: 20 }, (_, at) => queue(createJob(`job${at}`, 1)));
    const refuseDue = (now: number): number => {
      const due = jobs.filter((job) => {
        job.answered ||= admission.findReason(job, view(now)) === 'no-room';
        if (job.answered) admission.noteRefused(job);
        return job.answered;
      });
      for (const job of due) jobs.splice(jobs.indexOf(job), 1);
      return due.length;
    };
    expect(refuseDue(NOW)).to.equal(8);
    expect(refuseDue(NOW + 1)).to.equal(8);
    expect(refuseDue(NOW + 2)).to.equal(4);
  });

  it('has callers come back when the room has drained, spread, not sooner than a second nor later than ten', () => {
    noteEnds();
    const job = queue(createJob('job', 1));
    expect(admission.findRetryMs(job, view())).to.equal(2_500);
    queue(createJob('more', 60));
    // 61 tasks of 100 ms in two cores take 3,050 ms.
    expect(admission.findRetryMs(job, view())).to.be.within(4_500, 4_600);
    queue(createJob('most', 1_000));
    expect(admission.findRetryMs(job, view())).to.equal(8_500);
  });

  it('tells with a refusal what it went by', () => {
    noteEnds();
    const job = queue(createJob('job', 40));
    const figures = admission.describeForecast(job, view());
    expect(figures).to.include({ waitMs: 2_000, drainCores: 2, freeCpu: 0, ageMs: 0 });
  });
});
