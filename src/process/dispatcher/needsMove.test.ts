import { expect } from 'chai';

import { ROUTE, STEP } from '../../../test/fakes/dispatchFixtures.js';
import { FakeCaller } from '../../../test/fakes/FakeCaller.js';
import { createDispatchJob } from './dispatchJob.js';
import type { DispatchTask } from './dispatchJob.js';
import { needsMove } from './needsMove.js';

const NAME = { job: 'job', step: 0, index: 0, attempt: 1 };

function createTask(): DispatchTask {
  const submission = { id: 'job', route: ROUTE, spec: '', steps: [STEP], patienceMs: 1_000 };
  const timing = { now: 0, typicalSpeed: 1, priorityStepMs: 100 };
  const task = createDispatchJob(submission, new FakeCaller(), timing).tasks[0];
  if (!task) throw new Error('there is no task');
  return task;
}

describe('needsMove', () => {
  const task = createTask();

  it('moves a stalled task, even if it could still end in time', () => {
    expect(needsMove(task, { name: NAME, percent: 90, stalledMs: 161 }, 1, 1, 100)).to.equal(true);
    expect(needsMove(task, { name: NAME, percent: 90, stalledMs: 159 }, 1, 1, 100)).to.equal(false);
  });

  it('moves a slow task that would be late, but not one that is nearly done', () => {
    expect(needsMove(task, { name: NAME, percent: 10, stalledMs: 0 }, 0.2, 1, 100)).to.equal(true);
    expect(needsMove(task, { name: NAME, percent: 90, stalledMs: 0 }, 0.2, 1, 100)).to.equal(false);
  });

  it('moves no task that cannot be repeated before the caller timeout', () => {
    expect(needsMove(task, { name: NAME, percent: 10, stalledMs: 500 }, 0.2, 1, 950)).to.equal(false);
  });
});
