import { expect } from 'chai';

import { ROUTE, STEP } from '../../../test/fakes/dispatchFixtures.js';
import { FakeCaller } from '../../../test/fakes/FakeCaller.js';
import { ForecastAdmission } from './Admission.js';
import { ExecutorView } from './ExecutorView.js';
import { createDispatchJob, transitionTask } from './dispatchJob.js';
import type { DispatchJob, DispatchTask } from './dispatchJob.js';
import type { CapacityView } from './CapacityForecast.js';

const CALLER_TIMEOUT_MS = 1_000;
const NOW = 1_000;
const CAPACITY = { cpuMilli: 2_000, memoryMb: 1_000, gpus: 0 };

function createJob(id: string, count: number, step = STEP): DispatchJob {
  const submission = {
    id,
    route: ROUTE,
    spec: '',
    steps: [{ ...step, count }],
    patienceMs: CALLER_TIMEOUT_MS,
  };
  return createDispatchJob(submission, new FakeCaller(), { now: NOW, typicalSpeed: 1, priorityStepMs: 100 });
}

describe('ForecastAdmission', () => {
  let admission: ForecastAdmission;
  let executor: ExecutorView;
  let waiting: DispatchTask[];

  /** Creates an executor of two cores with two running tasks, which reports the given free CPU. */
  function reportCapacity(free = 0): void {
    const hello = {
      agent: 'a',
      life: '1',
      failureDomain: 'x',
      holding: [],
      results: [],
      entryLife: '',
      orphanMs: 1,
    };
    executor = new ExecutorView({ type: 'agent-hello', ...hello }, NOW);
    const description = { upstream: 'u', service: ROUTE.service, labels: [], capacity: CAPACITY };
    const reported = { ...CAPACITY, cpuMilli: free };
    executor.recordCapacity(
      { description, state: 'ready', trust: 'healthy', free: reported, startsSeen: 0, speed: 1 },
      NOW,
    );
    for (const task of createJob('running', 2).tasks) sendTask(task);
  }

  function sendTask(task: DispatchTask): void {
    task.executorId = executor.id;
    task.sentAt = NOW - STEP.estimateMs;
    transitionTask(task, 'send');
    admission.recordSent(task);
  }

  /** Records tasks that took exactly as long as estimated. */
  function recordEnds(): void {
    for (const task of createJob('ended', 20).tasks) {
      sendTask(task);
      admission.recordEnded(task, true, NOW);
    }
  }

  function queue(job: DispatchJob): DispatchJob {
    admission.recordArrived(job, NOW);
    waiting.push(...job.tasks.filter(({ phase }) => phase === 'waiting'));
    return job;
  }

  function buildView(now = NOW): CapacityView {
    const listExecutors = (): ExecutorView[] => [executor];
    return { now, typicalSpeed: 1, staleMs: 200, listExecutors, listWaiting: () => waiting };
  }

  beforeEach(() => {
    admission = new ForecastAdmission(() => 0.5);
    waiting = [];
    reportCapacity();
  });

  it('refuses on arrival a job that would wait too long behind others, and keeps those', () => {
    recordEnds();
    const first = queue(createJob('first', 4));
    queue(createJob('middle', 20));
    const last = queue(createJob('last', 1));
    expect(admission.findReason(first, buildView())).to.equal(undefined);
    expect(admission.findReason(last, buildView())).to.equal('no-room');
  });

  it('keeps all jobs while no task has ended or no executor is usable', () => {
    queue(createJob('before', 40));
    const job = queue(createJob('job', 1));
    expect(admission.findReason(job, buildView())).to.equal(undefined);
    recordEnds();
    executor.linked = false;
    expect(admission.findReason(job, buildView(NOW + 1))).to.equal(undefined);
  });

  it('keeps a job that fits into free capacity, regardless of other waiting jobs', () => {
    reportCapacity(1_000);
    recordEnds();
    queue(createJob('before', 40));
    expect(admission.findReason(queue(createJob('job', 1)), buildView())).to.equal(undefined);
  });

  it('keeps a job that has begun, and one that requires a label', () => {
    recordEnds();
    queue(createJob('before', 40));
    const begun = queue(createJob('begun', 1));
    begun.begun = true;
    const labelled = queue(createJob('labelled', 1, { ...STEP, requiredLabel: 'rack' }));
    for (const job of [begun, labelled]) expect(admission.findReason(job, buildView())).to.equal(undefined);
  });

  it('excludes refused jobs from the queue, so that jobs behind them are kept', () => {
    recordEnds();
    const wide = queue(createJob('wide', 40));
    const job = queue(createJob('job', 1));
    expect(admission.findReason(job, buildView())).to.equal('no-room');
    waiting = waiting.filter((task) => task.job !== wide);
    admission.recordRefused(wide);
    expect(admission.findReason(job, buildView())).to.equal(undefined);
  });

  it('limits refusals at one time: each is decided without the jobs refused before', () => {
    recordEnds();
    queue(createJob('before', 60));
    const jobs = Array.from({ length: 20 }, (_, at) => queue(createJob(`job${at}`, 1)));
    const refuseDue = (now: number): number => {
      const due = jobs.filter((job) => {
        job.answered ||= admission.findReason(job, buildView(now)) === 'no-room';
        if (job.answered) admission.recordRefused(job);
        return job.answered;
      });
      for (const job of due) jobs.splice(jobs.indexOf(job), 1);
      return due.length;
    };
    expect(refuseDue(NOW)).to.equal(8);
    expect(refuseDue(NOW + 1)).to.equal(8);
    expect(refuseDue(NOW + 2)).to.equal(4);
  });

  it('computes a retry delay from the backlog, with jitter, between one and ten seconds', () => {
    recordEnds();
    const job = queue(createJob('job', 1));
    expect(admission.findRetryMs(job, buildView())).to.equal(2_500);
    queue(createJob('more', 60));
    // 61 tasks of 100 ms on two cores take 3,050 ms.
    expect(admission.findRetryMs(job, buildView())).to.be.within(4_500, 4_600);
    queue(createJob('most', 1_000));
    expect(admission.findRetryMs(job, buildView())).to.equal(8_500);
  });

  it('describes the forecast behind a refusal', () => {
    recordEnds();
    const job = queue(createJob('job', 40));
    const figures = admission.describeForecast(job, buildView());
    expect(figures).to.include({ waitMs: 2_000, drainCores: 2, freeCpu: 0, ageMs: 0 });
  });
});
