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

function createAgent(agent: string, free = CAPACITY): ExecutorView {
  const hello = { type: 'agent-hello', agent, life: '1', failureDomain: 'x', orphanMs: 1_000 } as const;
  const view = new ExecutorView({ ...hello, holding: [], results: [], entryLife: '' }, 0);
  const description = { upstream: agent, service: 'service', labels: [], capacity: CAPACITY };
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

  function choose(task: DispatchTask, agents: readonly ExecutorView[], now = 0): string | undefined {
    const context = { now, typicalSpeed: 1, staleMs: Infinity, returnMs: 50, nextRandom: createRandom(1) };
    return placement.choose(task, agents, context)?.agent;
  }

  it('chooses no agent at which another suspect is', () => {
    const agents = [createAgent('a'), createAgent('b', BUSY)];
    const first = createTask('first');
    first.agent = agents[0]?.id ?? '';
    placement.noteSent(first);
    expect(choose(createTask('second'), agents)).to.equal('b');
    placement.noteEnd(first, false, 0);
    expect(choose(createTask('second'), agents)).to.equal('a');
  });

  it('prefers a busy agent to an idle one whose upstream has crashed of late', () => {
    const agents = [createAgent('crashed'), createAgent('busy', BUSY)];
    placement.noteCrash(agents[0]?.id ?? '', 0);
    expect(choose(createTask('job'), agents)).to.equal('busy');
    expect(choose(createTask('job'), agents.slice(0, 1))).to.equal('crashed');
    expect(choose(createTask('job'), agents, CRASHED_MS)).to.equal('crashed');
  });
});
