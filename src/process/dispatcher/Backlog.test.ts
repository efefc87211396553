import { expect } from 'chai';

import { ROUTE, STEP } from '../../../test/fakes/dispatchFixtures.js';
import { FakeCaller } from '../../../test/fakes/FakeCaller.js';
import { Backlog } from './Backlog.js';
import { createDispatchJob } from './dispatchJob.js';
import type { DispatchJob } from './dispatchJob.js';

const TYPICAL_SPEED = 1;
/** Objective of a job that arrives at 0: 1.6 times its work and 60 ms. */
const OBJECTIVE_MS = STEP.estimateMs * ROUTE.stretch + ROUTE.targetLatencyMs;

function createJob(id: string, count: number, now: number): DispatchJob {
  const submission = { id, route: ROUTE, spec: '', steps: [{ ...STEP, count }], patienceMs: 10_000 };
  const timing = { now, typicalSpeed: TYPICAL_SPEED, priorityStepMs: 100 };
  return createDispatchJob(submission, new FakeCaller(), timing);
}

function listIds(backlog: Backlog, now: number): string[] {
  return backlog.list(now, TYPICAL_SPEED).map(({ job, index }) => `${job.id}${index}`);
}

describe('Backlog', () => {
  it('lists tasks that cannot end in time after those that can', () => {
    const backlog = new Backlog();
    for (const job of [createJob('old', 1, 0), createJob('new', 1, 100)]) {
      for (const task of job.tasks) backlog.add(task);
    }
    expect(listIds(backlog, 100)).to.deep.equal(['old0', 'new0']);
    const tooLate = OBJECTIVE_MS - STEP.estimateMs / 2;
    expect(listIds(backlog, tooLate)).to.deep.equal(['new0', 'old0']);
  });

  it('lists the late tasks of the job with the least remaining work first', () => {
    const backlog = new Backlog();
    const wide = createJob('wide', 3, 0);
    const nearlyDone = createJob('last', 2, 1);
    nearlyDone.remaining = 1;
    for (const task of wide.tasks) backlog.add(task);
    const [, last] = nearlyDone.tasks;
    if (last) backlog.add(last);
    expect(listIds(backlog, 0)).to.deep.equal(['wide0', 'wide1', 'wide2', 'last1']);
    expect(listIds(backlog, OBJECTIVE_MS + 1)).to.deep.equal(['last1', 'wide0', 'wide1', 'wide2']);
  });

  it('uses the typical speed to decide whether a task can end in time', () => {
    const backlog = new Backlog();
    for (const task of createJob('job', 1, 0).tasks) backlog.add(task);
    for (const task of createJob('next', 1, 90).tasks) backlog.add(task);
    expect(backlog.list(115, 1)[0]?.job.id).to.equal('job');
    expect(backlog.list(115, 0.6)[0]?.job.id).to.equal('next');
  });
});
