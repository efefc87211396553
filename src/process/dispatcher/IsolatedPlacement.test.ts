import { expect } from 'chai';

import { ROUTE, STEP } from '../../../test/fakes/dispatchFixtures.js';
import { FakeCaller } from '../../../test/fakes/FakeCaller.js';
import { createRandom } from '../../_lib/createRandom.js';
import { ExecutorView } from './ExecutorView.js';
import { createDispatchJob } from './dispatchJob.js';
import type { DispatchTask } from './dispatchJob.js';
import { IsolatedPlacement } from './IsolatedPlacement.js';
import { SpeedPlacement } from './Placement.js';

const CAPACITY = { cpuMilli: 16_000, memoryMb: 1_000, gpus: 0 };
const BUSY = { cpuMilli: 8_000, memoryMb: 1_000, gpus: 0 };
const CRASHED_MS = 10_000;

function createExecutor(processId: string, free = CAPACITY): ExecutorView {
  const hello = {
    type: 'agent-hello',
    agent: processId,
    life: '1',
    failureDomain: 'x',
    orphanMs: 1_000,
  } as const;
  const view = new ExecutorView({ ...hello, holding: [], results: [], entryLife: '' }, 0);
  const description = { upstream: processId, service: 'service', labels: [], capacity: CAPACITY };
  view.recordCapacity({ description, state: 'ready', trust: 'healthy', free, startsSeen: 0, speed: 1 }, 0);
  return view;
}

function createTask(id: string): DispatchTask {
  const submission = { id, route: ROUTE, spec: '', steps: [STEP], patienceMs: 2_000 };
  const timing = { now: 0, typicalSpeed: 1, priorityStepMs: 100 };
  const task = createDispatchJob(submission, new FakeCaller(), timing).tasks[0];
  if (!task) throw new Error('there is no task');
  return task;
}

describe('IsolatedPlacement', () => {
  let placement: IsolatedPlacement;

  beforeEach(() => {
    placement = new IsolatedPlacement(new SpeedPlacement(1));
  });

  function choose(task: DispatchTask, executors: readonly ExecutorView[], now = 0): string | undefined {
    const context = { now, typicalSpeed: 1, staleMs: Infinity, returnMs: 50, nextRandom: createRandom(1) };
    return placement.choose(task, executors, context)?.processId;
  }

  it('chooses no executor with another suspect', () => {
    const executors = [createExecutor('a'), createExecutor('b', BUSY)];
    const first = createTask('first');
    first.executorId = executors[0]?.id ?? '';
    placement.recordSent(first);
    expect(choose(createTask('second'), executors)).to.equal('b');
    placement.recordEnd(first, false, 0);
    expect(choose(createTask('second'), executors)).to.equal('a');
  });

  it('prefers a busy executor to an idle one whose upstream crashed recently', () => {
    const executors = [createExecutor('crashed'), createExecutor('busy', BUSY)];
    placement.recordCrash(executors[0]?.id ?? '', 0);
    expect(choose(createTask('job'), executors)).to.equal('busy');
    expect(choose(createTask('job'), executors.slice(0, 1))).to.equal('crashed');
    expect(choose(createTask('job'), executors, CRASHED_MS)).to.equal('crashed');
  });
});
