import { expect } from 'chai';
import fc from 'fast-check';

import { FakeCaller } from '../../../test/fakes/FakeCaller.js';
import { ROUTE, STEP } from '../../../test/fakes/dispatchFixtures.js';
import { fitResources, subtractResources } from '../../request/dispatch/resources.js';
import type { Resources } from '../../request/dispatch/submission.js';
import { createDispatchJob } from './dispatchJob.js';
import type { DispatchTask } from './dispatchJob.js';
import { UnplacedNeeds } from './UnplacedNeeds.js';

const SEED = 20261207;
const TIMING = { now: 0, typicalSpeed: 1, priorityStepMs: 100 };

interface ModelTask {
  readonly service: string;
  readonly label: string;
  readonly resources: Resources;
}

interface ModelExecutor {
  readonly service: string;
  readonly labels: readonly string[];
  readonly free: Resources;
}

function createTask({ service, label, resources }: ModelTask): DispatchTask {
  const steps = [{ ...STEP, resources, requiredLabel: label }];
  const submission = { id: 'j', route: { ...ROUTE, service }, spec: '', steps, patienceMs: 1_000 };
  return createDispatchJob(submission, new FakeCaller(), TIMING).tasks[0] as DispatchTask;
}

const SERVICE = fc.constantFrom('s', 't');
const AMOUNTS = fc.record({ cpuMilli: fc.nat(4), memoryMb: fc.nat(4), gpus: fc.nat(2) });
const TASK = fc.record({ service: SERVICE, label: fc.constantFrom('', 'a', 'b'), resources: AMOUNTS });
const EXECUTOR = fc.record({
  service: SERVICE,
  labels: fc.constantFrom([], ['a'], ['b'], ['a', 'b']),
  free: AMOUNTS,
});

describe('UnplacedNeeds', () => {
  // One task that needs a GPU which nobody has kept back all that need as much CPU, also those of other services.
  it('passes over a task only if no executor has room for it, and each task after an equal one', () => {
    const property = fc.property(fc.array(TASK, { maxLength: 40 }), fc.array(EXECUTOR), (tasks, fleet) => {
      const executors: ModelExecutor[] = [...fleet];
      const unplaced = new UnplacedNeeds();
      const unplacedTexts = new Set<string>();
      for (const model of tasks) {
        const task = createTask(model);
        const at = executors.findIndex(
          ({ service, labels, free }) =>
            service === model.service &&
            (model.label === '' || labels.includes(model.label)) &&
            fitResources(model.resources, free),
        );
        const isCovered = unplaced.covers(task);
        if (isCovered) expect(at).to.equal(-1);
        if (unplacedTexts.has(JSON.stringify(model))) expect(isCovered).to.equal(true);
        const executor = executors[at];
        if (executor)
          executors[at] = { ...executor, free: subtractResources(executor.free, model.resources) };
        else if (!isCovered) unplaced.record(task, false);
        if (at < 0) unplacedTexts.add(JSON.stringify(model));
      }
    });
    fc.assert(property, { seed: SEED, numRuns: 2_000 });
  });

  it('does not keep back ordinary tasks behind a suspect one', () => {
    const task = createTask({ service: 's', label: '', resources: STEP.resources });
    const unplaced = new UnplacedNeeds();
    unplaced.record(task, true);
    expect([unplaced.covers(task), unplaced.coversSuspect(task)]).to.deep.equal([false, true]);
  });

  it('keeps few needs, however many there are', () => {
    const unplaced = new UnplacedNeeds();
    const buildTask = (number: number): DispatchTask =>
      createTask({
        service: 's',
        label: '',
        resources: { cpuMilli: number, memoryMb: 100 - number, gpus: 0 },
      });
    for (let number = 0; number <= 100; number += 1) unplaced.record(buildTask(number), false);
    expect(unplaced.covers(buildTask(3))).to.equal(true);
    expect(unplaced.covers(buildTask(90))).to.equal(false);
  });
});
