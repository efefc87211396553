/** Compares policies of the dispatcher under overload in `ScarceCapacityModel`, on virtual time. */
import { expect } from 'chai';
import fc from 'fast-check';

import { createRandom } from '../src/_lib/createRandom.js';
import { ForecastAdmission } from '../src/process/dispatcher/Admission.js';
import { FairOrder } from '../src/process/dispatcher/FairOrder.js';
import { countService } from './fakes/countService.js';
import type { ServiceSummary } from './fakes/countService.js';
import { evaluateJob, LOADS, ScarceCapacityModel } from './fakes/ScarceCapacityModel.js';
import type { ScarceCapacityJob, ScarceCapacityRun } from './fakes/ScarceCapacityModel.js';

/** Seed of the random loads. */
const SEED = 20261203;
const SEEDS = [1, 2, 3, 4];
/** Variation between runs at normal load and under light overload. */
const NOISE = 0.01;
/** Longest wait of a job that is refused immediately, ms. */
const IMMEDIATE_MS = 20;

const DEFAULT_POLICIES: Partial<ScarceCapacityRun> = {};
const FAIR_ORDER: Partial<ScarceCapacityRun> = { createOrder: () => new FairOrder() };
const FAIR_FORECAST: Partial<ScarceCapacityRun> = {
  ...FAIR_ORDER,
  createAdmission: () => new ForecastAdmission(createRandom(1)),
};

function runModel(
  load: Omit<ScarceCapacityRun, 'seed'>,
  policies: Partial<ScarceCapacityRun>,
  seeds = SEEDS,
): ScarceCapacityJob[] {
  return seeds.flatMap((seed) => new ScarceCapacityModel({ ...load, ...policies, seed }).run().jobs);
}

function runLoad(name: string, policies: Partial<ScarceCapacityRun>): ServiceSummary {
  const load = LOADS[name];
  if (!load) throw new Error(`unknown load: ${name}`);
  return countService(runModel(load, policies));
}

/** Counts the jobs that arrived in an interval by verdict. */
function countVerdicts(
  jobs: readonly ScarceCapacityJob[],
  fromMs: number,
  untilMs: number,
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const job of jobs) {
    if (job.arrivedAt < fromMs || job.arrivedAt >= untilMs) continue;
    const verdict = evaluateJob(job);
    counts[verdict] = (counts[verdict] ?? 0) + 1;
  }
  return counts;
}

function sumWork(jobs: readonly ScarceCapacityJob[]): number {
  return jobs.reduce((sum, { work }) => sum + work, 0);
}

function sumWorkInTime(jobs: readonly ScarceCapacityJob[]): number {
  return sumWork(jobs.filter((job) => evaluateJob(job) === 'in-time'));
}

describe('fair order and forecast admission', function () {
  this.timeout(30_000);

  it('refuse no job at normal load, and complete all in time', () => {
    const { total, refusedAtOnce, refusedLater } = runLoad('calm', FAIR_FORECAST);
    expect(total).to.be.at.least(1 - NOISE);
    expect(refusedAtOnce + refusedLater).to.equal(0);
  });

  // One queue floods the capacity, or a third of the upstreams is slow during two bursts.
  for (const name of ['flood', 'slow third']) {
    it(`serve more in total and of the worst queue under ${name}`, () => {
      const [baseline, now] = [runLoad(name, DEFAULT_POLICIES), runLoad(name, FAIR_FORECAST)];
      expect(now.total).to.be.above(baseline.total);
      expect(now.worstQueue).to.be.above(baseline.worstQueue);
      expect(now.useless + now.interrupted).to.be.below(baseline.useless + baseline.interrupted);
    });
  }

  it('serve more of the worst queue when half of the capacity is lost during bursts', () => {
    expect(runLoad('room lost', FAIR_FORECAST).worstQueue).to.be.above(
      runLoad('room lost', DEFAULT_POLICIES).worstQueue,
    );
  });

  for (const name of Object.keys(LOADS)) {
    it(`serve no size class less than half as often as its queue under ${name}`, () => {
      expect(runLoad(name, FAIR_FORECAST).leastShare).to.be.at.least(0.5);
    });
  }

  for (const name of Object.keys(LOADS)) {
    it(`are worth no less under ${name} than the default policies, apart from noise`, () => {
      expect(runLoad(name, FAIR_FORECAST).worth).to.be.at.least(
        runLoad(name, DEFAULT_POLICIES).worth - NOISE,
      );
    });
  }

  it('leave no capacity idle while a fitting task waits', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 0, max: 1_000 }),
        fc.double({ min: 0.5, max: 2, noNaN: true }),
        (seed, load) => {
          const model = new ScarceCapacityModel({
            lengthMs: 3_000,
            bursts: [],
            seed,
            load,
            ...FAIR_FORECAST,
          }).run();
          expect(model.idleAt).to.deep.equal([]);
        },
      ),
      { numRuns: 15, seed: SEED },
    );
  });

  // A refusal changes the schedule, so the runs are compared by their work in time, with a tolerance of one large job.
  it('refuse no more work than would have been late', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 0, max: 1_000 }),
        fc.double({ min: 0.7, max: 2, noNaN: true }),
        (seed, load) => {
          const base = { lengthMs: 5_000, bursts: [], load };
          const seeds = [seed, seed + 1, seed + 2, seed + 3];
          const without = runModel(base, FAIR_ORDER, seeds);
          const inTime = sumWorkInTime(runModel(base, FAIR_FORECAST, seeds));
          expect(inTime).to.be.at.least(sumWorkInTime(without) - sumWork(without) / 50);
        },
      ),
      { numRuns: 6, seed: SEED },
    );
  });

  // A failure domain fails or is emptied during a burst.
  it('continue with the remaining capacity when executors fail or are emptied', () => {
    const burst = { queue: 'large', fromMs: 1_000, untilMs: 5_000, factor: 2.3 };
    const base = { lengthMs: 8_000, bursts: [burst] };
    const outage = { executors: 3, fromMs: 2_000, untilMs: 4_000 };
    for (const failure of [{ outage }, { emptied: { executors: 2, fromMs: 2_000 } }]) {
      const jobs = runModel({ ...base, ...failure }, FAIR_FORECAST);
      expect(jobs.filter(({ outcome }) => outcome === undefined)).to.have.lengthOf(0);
      const baseline = runModel({ ...base, ...failure }, DEFAULT_POLICIES);
      expect(countService(jobs).worth).to.be.at.least(countService(baseline).worth - NOISE);
    }
  });

  // All executors fail for 1.5 s while callers continue to submit.
  it('keep jobs that can still be in time when all capacity returns, and are normal two seconds later', () => {
    const outage = { executors: 6, fromMs: 3_000, untilMs: 4_500 };
    const jobs = runModel({ lengthMs: 8_000, bursts: [], outage }, FAIR_FORECAST);
    const back = countVerdicts(jobs, 4_400, 4_500);
    expect(back['in-time'] ?? 0).to.be.above(0);
    const later = countVerdicts(jobs, 6_500, 8_000);
    expect(
      (later['in-time'] ?? 0) / Object.values(later).reduce((sum, count) => sum + count, 0),
    ).to.be.at.least(1 - NOISE);
    const justBefore = jobs.filter(({ arrivedAt }) => arrivedAt >= 4_450 && arrivedAt < 4_500);
    const refusedAtOnce = justBefore.filter(
      (job) => evaluateJob(job) === 'refused' && job.answeredAt - job.arrivedAt <= IMMEDIATE_MS,
    );
    expect(refusedAtOnce).to.have.lengthOf(0);
  });
});
