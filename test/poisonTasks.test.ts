import { expect } from 'chai';

import { createRandom } from '../src/_lib/createRandom.js';
import { CrashModel } from './fakes/CrashModel.js';
import type { CrashScenario, ModelJob } from './fakes/CrashModel.js';
import { DispatchSimulation } from './fakes/DispatchSimulation.js';

const LIMIT = 2;
const SCENARIO: CrashScenario = { seed: 1, crashLimit: LIMIT, upstreams: 18, domains: 3, dispatchers: 3 };
const SEEDS = [1, 2, 3, 4, 5];
/** Number of harmless jobs; each has two tasks. */
const HARMLESS_JOBS = 100;
/** Interval between submissions, and time for all jobs to end, ms. */
const SUBMIT_INTERVAL_MS = 10;
const DRAIN_MS = 16_000;
const TASK_MS = 200;

/** Submits harmless jobs at a fixed rate, and jobs with a poison task among them. */
function runJobs(model: CrashModel, poisons: number, act?: (now: number) => void): ModelJob[] {
  const every = Math.floor(HARMLESS_JOBS / Math.max(1, poisons));
  const poisoned: ModelJob[] = [];
  let submitted = 0;
  model.advance(HARMLESS_JOBS * SUBMIT_INTERVAL_MS, (now) => {
    act?.(now);
    if (now % SUBMIT_INTERVAL_MS !== 0) return;
    model.submit(2, TASK_MS);
    if (poisoned.length < poisons && submitted % every === 0) poisoned.push(model.submit(2, TASK_MS, 0));
    submitted += 1;
  });
  model.advance(DRAIN_MS, act);
  return poisoned;
}

function countOutcomes(jobs: readonly ModelJob[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { outcome = 'none' } of jobs) counts[outcome] = (counts[outcome] ?? 0) + 1;
  return counts;
}

function listHarmless({ jobs }: CrashModel): ModelJob[] {
  return jobs.filter(({ poison }) => poison < 0);
}

describe('tasks that crash upstreams', function () {
  this.timeout(120_000);

  for (const seed of SEEDS) {
    it(`crash one shared upstream and at most ${LIMIT} more, and other jobs complete, seed ${seed}`, () => {
      const model = new CrashModel({ ...SCENARIO, seed });
      const [job] = runJobs(model, 1);
      expect(job?.outcome).to.equal('failed');
      expect(job?.crashes).to.be.at.most(LIMIT + 1);
      expect(countOutcomes(listHarmless(model))).to.deep.equal({ completed: HARMLESS_JOBS });
    });

    it(`are started at most three times after three crashes despite process restarts, seed ${seed}`, () => {
      const model = new CrashModel({ ...SCENARIO, seed });
      const nextRandom = createRandom(seed);
      const poisoned = runJobs(model, 3, (now) => {
        if (now % 900 === 0 && now < 6_000)
          model.killDispatcher(Math.floor(nextRandom() * SCENARIO.dispatchers));
        if (now % 700 === 0 && now < 6_000) model.killExecutor(Math.floor(nextRandom() * SCENARIO.upstreams));
      });
      for (const { lateStarts } of poisoned) expect(lateStarts).to.be.at.most(3);
      expect(countOutcomes(listHarmless(model))['failed'] ?? 0).to.equal(0);
    });

    it(`are distinguished from tasks at upstreams that crash by themselves, seed ${seed}`, () => {
      const model = new CrashModel({ ...SCENARIO, seed });
      runJobs(model, 0, (now) => {
        if (now < 8_000 && now % 1_000 === 0)
          for (const number of [0, 4, 8, 12]) model.crash((number + now / 1_000) % 18);
      });
      expect(countOutcomes(model.jobs)).to.deep.equal({ completed: HARMLESS_JOBS });
    });

    for (const domain of ['d1', undefined]) {
      it(`are not suspected when all upstreams of ${domain ?? 'all domains'} crash, seed ${seed}`, () => {
        const model = new CrashModel({ ...SCENARIO, seed });
        runJobs(model, 0, (now) => {
          if (now === 500 || now === 4_500) model.crashDomain(domain);
        });
        expect(countOutcomes(model.jobs)).to.deep.equal({ completed: HARMLESS_JOBS });
        expect(model.events.filter((line) => line.startsWith('job-crashes'))).to.deep.equal([]);
      });
    }
  }

  it('crash upstreams without limit while crashes are not counted', () => {
    const model = new CrashModel({ ...SCENARIO, crashLimit: 0 });
    const [job] = runJobs(model, 1);
    expect(job?.outcome).to.equal(undefined);
    expect(job?.crashes).to.be.greaterThan(6);
  });

  it('stay suspected at the next dispatcher of their callers', () => {
    const model = new CrashModel({ ...SCENARIO, crashLimit: 1 });
    const job = model.submit(1, TASK_MS, 0);
    model.advance(1_000);
    model.killDispatcher(job.dispatcher);
    model.advance(8_000);
    expect([job.outcome, job.crashes, job.submissions]).to.deep.equal(['failed', 2, 2]);
  });

  for (const keepsIds of [false, true]) {
    const name = keepsIds ? 'under the same id' : 'under new ids';
    it(`are detected by executors and dispatchers when upstreams restart ${name}`, async () => {
      const simulation = new DispatchSimulation(3, keepsIds, LIMIT);
      await simulation.advance(200);
      const crashedAt = simulation.submitPoison(0, 100, 12_000);
      for (let job = 0; job < 20; job += 1) {
        simulation.submit(job, 2, 100, 12_000);
        await simulation.advance(20);
      }
      await simulation.advance(12_000);
      const { submitted, ...outcomes } = (await simulation.settle(), simulation.counts);
      simulation.close();
      expect(crashedAt.length).to.be.within(LIMIT, LIMIT + 1);
      expect(submitted).to.equal(21);
      expect(outcomes).to.include({ completed: 20, failed: 1 });
    });
  }
});
