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

  it('moves what stands still, also where it could still be in time', () => {
    expect(needsMove(task, { name: NAME, percent: 90, stalledMs: 161 }, 1, 1, 100)).to.equal(true);
    expect(needsMove(task, { name: NAME, percent: 90, stalledMs: 159 }, 1, 1, 100)).to.equal(false);
  });

  it('moves what crawls and would be late, not what crawls and is nearly done', () => {
    expect(needsMove(task, { name: NAME, percent: 10, stalledMs: 0 }, 0.2, 1, 100)).to.equal(true);
    expect(needsMove(task, { name: NAME, percent: 90, stalledMs: 0 }, 0.2, 1, 100)).to.equal(false);
  });

  it('moves nothing that cannot be done again before its caller stops waiting', () => {
    expect(needsMove(task, { name: NAME, percent: 10, stalledMs: 500 }, 0.2, 1, 950)).to.equal(false);
  });
});
