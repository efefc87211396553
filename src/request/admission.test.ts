import { expect } from 'chai';

import { LatenessAdmission } from './admission.js';
import type { AdmissionInput } from './admission.js';

const idle: AdmissionInput = {
  workMs: 400,
  longestMs: 200,
  deadlineMs: 5_000,
  aheadMs: 0,
  slots: 10,
  activeJobs: 1,
  totalMs: 0,
  callerMs: 0,
  teamMs: 0,
  callers: 1,
  teams: 1,
  random: 0.5,
};

describe('LatenessAdmission', () => {
  const admission = new LatenessAdmission(100);

  it('admits a job that is predicted to meet its deadline', () => {
    expect(admission.decideJob(idle)).to.equal(undefined);
  });

  it('refuses a job whose backlog takes longer than its deadline, with a retry hint', () => {
    const early = admission.decideJob({ ...idle, aheadMs: 60_000, random: 0 });
    const late = admission.decideJob({ ...idle, aheadMs: 60_000, random: 1 });
    expect(early).to.include({ reason: 'predicted-late' });
    expect(late?.retryAfterMs).to.be.greaterThan(early?.retryAfterMs ?? 0);
  });

  it('limits the share of one caller or team, but only while work waits', () => {
    const flood = { ...idle, totalMs: 20_000, callerMs: 19_000, callers: 4 };
    expect(admission.decideJob(flood)).to.include({ reason: 'caller-share' });
    expect(admission.decideJob({ ...flood, callerMs: 1_000 })).to.equal(undefined);
    expect(admission.decideJob({ ...flood, totalMs: 900, callerMs: 850 })).to.equal(undefined);
    expect(admission.decideJob({ ...idle, totalMs: 20_000, teamMs: 15_000, teams: 5 })).to.include({
      reason: 'team-share',
    });
  });
});
