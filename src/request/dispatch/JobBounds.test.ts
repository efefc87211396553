import { expect } from 'chai';

import { ROUTE, STEP } from '../../../test/fakes/dispatchFixtures.js';
import { JobBounds } from './JobBounds.js';
import type { JobSubmission, StepNeed } from './submission.js';

const LIMITS = { maxOpenJobs: 2, maxOpenBytes: 10_000, maxJobTasks: 8, maxJobSteps: 2 };
function buildJob(steps: readonly StepNeed[], spec = ''): JobSubmission {
  return { id: 'job', route: ROUTE, spec, steps, patienceMs: 1_000 };
}

describe('JobBounds', () => {
  it('rejects a job with too many steps or tasks, and accepts one at the limits', () => {
    const bounds = new JobBounds(LIMITS);
    expect(bounds.findExcess(buildJob([STEP, STEP, STEP]))).to.have.length(1);
    expect(bounds.findExcess(buildJob([{ ...STEP, count: 9 }]))).to.have.length(1);
    expect(
      bounds.findExcess(
        buildJob([
          { ...STEP, count: 4 },
          { ...STEP, count: 4 },
        ]),
      ),
    ).to.deep.equal([]);
  });

  it('admits jobs up to the limits of number and bytes, and another one after a release', () => {
    const bounds = new JobBounds(LIMITS);
    expect(bounds.take(buildJob([STEP]))).to.equal(true);
    expect(bounds.take(buildJob([STEP], 'x'.repeat(10_000)))).to.equal(false);
    expect(bounds.take(buildJob([STEP]))).to.equal(true);
    expect(bounds.take(buildJob([STEP]))).to.equal(false);
    bounds.release(buildJob([STEP]));
    expect(bounds.take(buildJob([STEP]))).to.equal(true);
  });

  // 4,000 open jobs with a label of 262,000 characters, or with steps that all wait for each other, passed for small.
  it('counts all texts and dependencies of a job', () => {
    const text = 'x'.repeat(10_000);
    const after = Array.from({ length: 1_000 }, (_, index) => index);
    for (const step of [{ requiredLabel: text }, { preferredRack: text }, { after }]) {
      expect(new JobBounds(LIMITS).take(buildJob([{ ...STEP, ...step }]))).to.equal(false);
    }
    expect(new JobBounds(LIMITS).take({ ...buildJob([STEP]), id: text })).to.equal(false);
  });
});
