import { expect } from 'chai';
import fc from 'fast-check';

import { ROUTE, STEP } from '../../../test/fakes/dispatchFixtures.js';
import { FakeCaller } from '../../../test/fakes/FakeCaller.js';
import { createDispatchJob, computeTaskWork, transitionTask } from './dispatchJob.js';
import type { DispatchJob, DispatchTask } from './dispatchJob.js';
import { FairOrder } from './FairOrder.js';

const CALLER_TIMEOUT_MS = 1_000_000;
/** Time until the arrival rate is known, ms. */
const LATER_MS = 1_000;
/** Objective of a job that arrives at 0: 1.6 times its work and 60 ms. */
const OBJECTIVE_MS = STEP.estimateMs * ROUTE.stretch + ROUTE.targetLatencyMs;

function createJob(name: string, priority: number, count: number, now = 0): DispatchJob {
  const route = { ...ROUTE, name, priority };
  const submission = {
    id: name,
    route,
    spec: '',
    steps: [{ ...STEP, count }],
    patienceMs: CALLER_TIMEOUT_MS,
  };
  const timing = { now, typicalSpeed: 1, priorityStepMs: 100 };
  return createDispatchJob(submission, new FakeCaller(), timing);
}

function listNames(order: FairOrder, jobs: readonly DispatchJob[], now: number): string[] {
  const tasks = jobs.flatMap((job) => job.tasks.filter(({ phase }) => phase === 'waiting'));
  return order.list(tasks, { now, typicalSpeed: 1 }).map(({ job }) => job.id);
}

/** Sends the first task of the order in each round, and returns the sent work of each queue. */
function sendFirst(order: FairOrder, jobs: readonly DispatchJob[], rounds: number): Map<string, number> {
  const work = new Map<string, number>();
  for (let round = 0; round < rounds; round += 1) {
    const waiting = jobs.flatMap((job) => job.tasks.filter(({ phase }) => phase === 'waiting'));
    const [task] = order.list(waiting, { now: 0, typicalSpeed: 1 });
    if (!task) break;
    transitionTask(task, 'send');
    order.recordSent(task, 0);
    work.set(task.job.id, (work.get(task.job.id) ?? 0) + computeTaskWork(task));
  }
  return work;
}

describe('FairOrder', () => {
  it('serves the most urgent queue ahead of its share within its usual arrival rate', () => {
    const order = new FairOrder();
    order.recordArrived(createJob('urgent', 0, 2), 0);
    const urgent = createJob('urgent', 0, 2, LATER_MS);
    const large = createJob('large', 2, 2, LATER_MS);
    for (const job of [large, urgent]) order.recordArrived(job, LATER_MS);
    expect(listNames(order, [large, urgent], LATER_MS)).to.deep.equal(['urgent', 'urgent', 'large', 'large']);
  });

  it('serves tasks in time before late ones, and the late jobs with the smallest remaining fraction first', () => {
    const order = new FairOrder();
    const wide = createJob('wide', 0, 4);
    wide.remaining = 1;
    for (const task of wide.tasks.slice(1)) transitionTask(task, 'send');
    const small = createJob('small', 0, 2);
    const fresh = createJob('fresh', 1, 1, OBJECTIVE_MS);
    const names = listNames(order, [small, wide, fresh], OBJECTIVE_MS);
    expect(names[0]).to.equal('fresh');
    const sameQueue = [small, wide].map((job) => ({ ...job, submission: small.submission }));
    for (const job of sameQueue) job.tasks.forEach((task) => Object.assign(task, { job }));
    expect(listNames(order, sameQueue, OBJECTIVE_MS)[0]).to.equal('wide');
  });

  it('refunds the work of a task that was not run', () => {
    const order = new FairOrder();
    const [first, second] = [createJob('one', 1, 3), createJob('other', 1, 3)];
    for (const job of [first, second]) order.recordArrived(job, 0);
    const before = listNames(order, [first, second], 0);
    const [task] = first.tasks as [DispatchTask];
    order.recordSent(task, 0);
    expect(listNames(order, [first, second], 0)).not.to.deep.equal(before);
    order.recordReturned(task, 0);
    expect(listNames(order, [first, second], 0)).to.deep.equal(before);
  });

  // Guards against one overloaded queue starving the others.
  it('keeps the weighted service of any two queues within a task of each', () => {
    const arbitrary = fc.array(
      fc.record({ count: fc.integer({ min: 30, max: 60 }), priority: fc.integer({ min: 0, max: 3 }) }),
      {
        minLength: 2,
        maxLength: 4,
      },
    );
    fc.assert(
      fc.property(arbitrary, (queues) => {
        const order = new FairOrder();
        const jobs = queues.map(({ count, priority }, at) => createJob(`queue${at}`, priority, count));
        for (const job of jobs) order.recordArrived(job, 0);
        const work = sendFirst(order, jobs, 30);
        const perWeight = jobs.map((job, at) => {
          const { count, priority } = queues[at] ?? { count: 1, priority: 0 };
          return {
            service: (work.get(job.id) ?? 0) / (count * 1.25 ** -priority),
            task: 100_000 / (count * 1.25 ** -priority),
          };
        });
        for (const queue of perWeight) {
          for (const other of perWeight) {
            expect(queue.service - other.service).to.be.at.most(queue.task + other.task + 1e-6);
          }
        }
      }),
    );
  });

  it('lists every waiting task once', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 1, max: 9 }), { maxLength: 6 }),
        fc.integer({ min: 0, max: 400 }),
        (counts, now) => {
          const order = new FairOrder();
          const jobs = counts.map((count, at) => createJob(`queue${at}`, at % 3, count));
          const tasks = jobs.flatMap((job) => job.tasks);
          const listed = order.list(tasks, { now, typicalSpeed: 1 });
          const found = new Set(listed);
          expect(listed.length).to.equal(tasks.length);
          expect(tasks.filter((task) => !found.has(task))).to.have.lengthOf(0);
        },
      ),
    );
  });
});
