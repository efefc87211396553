import { expect } from 'chai';

import { ROUTE, STEP } from '../../../test/fakes/dispatchFixtures.js';
import { FakeCaller } from '../../../test/fakes/FakeCaller.js';
import { createDispatchJob } from './dispatchJob.js';
import type { DispatchJob } from './dispatchJob.js';
import { findGiveUpReason } from './findGiveUpReason.js';

const CALLER_TIMEOUT_MS = 1_000;
/** An answer is useful for three times the job's objective: 1.6 times its work plus 60 ms. */
const USEFUL_MS = 3 * (STEP.estimateMs * ROUTE.stretch + ROUTE.targetLatencyMs);

function createJob(): DispatchJob {
  const submission = { id: 'job', route: ROUTE, spec: '', steps: [STEP], patienceMs: CALLER_TIMEOUT_MS };
  return createDispatchJob(submission, new FakeCaller(), { now: 0, typicalSpeed: 1, priorityStepMs: 100 });
}

describe('findGiveUpReason', () => {
  it('keeps a job whose answer can still be useful', () => {
    expect(findGiveUpReason(createJob(), 0, 1)).to.equal(undefined);
    expect(findGiveUpReason(createJob(), 200, 1)).to.equal(undefined);
  });

  it('gives up a job that no executor took for a large part of its caller timeout', () => {
    expect(findGiveUpReason(createJob(), CALLER_TIMEOUT_MS * 0.45, 1)).to.equal('no-room');
  });

  it('gives up a job whose answer would be useless', () => {
    expect(findGiveUpReason(createJob(), USEFUL_MS - STEP.estimateMs / 2, 1)).to.equal('cannot-finish');
  });

  it('keeps a job that has begun until its caller timeout', () => {
    const job = createJob();
    job.begun = true;
    for (const task of job.tasks) task.phase = 'sent';
    expect(findGiveUpReason(job, CALLER_TIMEOUT_MS - 50, 1)).to.equal(undefined);
    expect(findGiveUpReason(job, CALLER_TIMEOUT_MS - 10, 1)).to.equal('deadline');
  });

  it('gives up a job with a waiting task that cannot end before the caller timeout', () => {
    const job = createJob();
    job.begun = true;
    expect(findGiveUpReason(job, CALLER_TIMEOUT_MS - 120, 1)).to.equal(undefined);
    expect(findGiveUpReason(job, CALLER_TIMEOUT_MS - 100, 1)).to.equal('cannot-finish');
  });
});
