import { expect } from 'chai';

import { ROUTE, STEP } from '../../../test/fakes/dispatchFixtures.js';
import { FakeCaller } from '../../../test/fakes/FakeCaller.js';
import type { CapacityReport } from '../../connection/peer/peerMessages.js';
import { createRandom } from '../../_lib/createRandom.js';
import { ExecutorView } from './ExecutorView.js';
import { createDispatchJob } from './dispatchJob.js';
import type { DispatchTask } from './dispatchJob.js';
import { GroupedPlacement, PreferredPlacement, SpeedPlacement } from './Placement.js';

const FAR_FACTOR = 3;
const CAPACITY = { cpuMilli: 16_000, memoryMb: 1_000, gpus: 0 };
const CONTEXT = { now: 0, typicalSpeed: 1, staleMs: 300, returnMs: 50 };

function createExecutor(processId: string, rack: string, change: Partial<CapacityReport> = {}): ExecutorView {
  const hello = {
    type: 'agent-hello',
    agent: processId,
    life: '1',
    failureDomain: 'x',
    orphanMs: 1_000,
  } as const;
  const view = new ExecutorView({ ...hello, holding: [], results: [], entryLife: '' }, 0);
  const description = { upstream: processId, service: 'service', labels: [rack], capacity: CAPACITY };
  const rest = { state: 'ready', trust: 'healthy', free: CAPACITY, startsSeen: 0, speed: 1 } as const;
  view.recordCapacity({ description, ...rest, ...change }, 0);
  return view;
}

function createTask(preferredRack: string): DispatchTask {
  const steps = [{ ...STEP, preferredRack }];
  const submission = { id: 'job', route: ROUTE, spec: '', steps, patienceMs: 2_000 };
  const timing = { now: 0, typicalSpeed: 1, priorityStepMs: 100 };
  const task = createDispatchJob(submission, new FakeCaller(), timing).tasks[0];
  if (!task) throw new Error('there is no task');
  return task;
}

describe('SpeedPlacement', () => {
  const placement = new SpeedPlacement(FAR_FACTOR);
  const nextRandom = createRandom(1);

  it('spreads the choices of dispatchers with the same view', () => {
    const executors = Array.from({ length: 35 }, (_, at) => createExecutor(`a${at}`, 'r1'));
    const chosen = new Set<string>();
    for (let dispatcher = 0; dispatcher < 200; dispatcher += 1)
      chosen.add(placement.choose(createTask(''), executors, { ...CONTEXT, nextRandom })?.id ?? '');
    expect(chosen.size).to.be.greaterThan(30);
  });

  it('prefers the executor with less load', () => {
    const full = { cpuMilli: 1_000, memoryMb: 1_000, gpus: 0 };
    const executors = [createExecutor('full', 'r1', { free: full }), createExecutor('idle', 'r1')];
    for (let dispatcher = 0; dispatcher < 50; dispatcher += 1) {
      const chosen = placement.choose(createTask(''), executors, { ...CONTEXT, nextRandom });
      expect(chosen?.processId).to.equal('idle');
    }
  });

  it('finds the rack with the data among many', () => {
    const executors = Array.from({ length: 35 }, (_, at) =>
      createExecutor(`a${at}`, at === 17 ? 'data' : 'r1'),
    );
    for (let dispatcher = 0; dispatcher < 50; dispatcher += 1) {
      const chosen = placement.choose(createTask('data'), executors, { ...CONTEXT, nextRandom });
      expect(chosen?.processId).to.equal('a17');
    }
  });

  it('finds the only executor with free capacity among many', () => {
    const none = { cpuMilli: 0, memoryMb: 0, gpus: 0 };
    const executors = Array.from({ length: 35 }, (_, at) =>
      createExecutor(`a${at}`, 'r1', at === 3 ? {} : { free: none }),
    );
    expect(placement.choose(createTask(''), executors, { ...CONTEXT, nextRandom })?.processId).to.equal('a3');
  });
});

describe('GroupedPlacement', () => {
  const placement = new GroupedPlacement(FAR_FACTOR);
  const nextRandom = createRandom(2);
  const executors = Array.from({ length: 35 }, (_, at) => createExecutor(`a${at}`, 'r1'));

  function createSecondTask(lastExecutorId: string): DispatchTask {
    const task = createTask('');
    task.job.lastExecutorId = lastExecutorId;
    return task;
  }

  it('sends tasks of one job to the same executor at a similar cost', () => {
    for (let round = 0; round < 50; round += 1) {
      const chosen = placement.choose(createSecondTask('a20@1'), executors, { ...CONTEXT, nextRandom });
      expect(chosen?.id).to.equal('a20@1');
    }
  });

  it('chooses another executor if that one is full, slow, or has failed the task', () => {
    const none = { cpuMilli: 0, memoryMb: 0, gpus: 0 };
    const full = [createExecutor('last', 'r1', { free: none }), createExecutor('other', 'r1')];
    const slow = [createExecutor('last', 'r1', { speed: 0.6 }), createExecutor('other', 'r1')];
    const avoided = createSecondTask('last@1');
    avoided.avoid.add('last@1');
    for (const [task, candidates] of [
      [createSecondTask('last@1'), full],
      [createSecondTask('last@1'), slow],
      [avoided, [createExecutor('last', 'r1'), createExecutor('other', 'r1')]],
    ] as const) {
      expect(placement.choose(task, candidates, { ...CONTEXT, nextRandom })?.processId).to.equal('other');
    }
  });

  it('places the first task of a job', () => {
    expect(placement.choose(createTask(''), executors, { ...CONTEXT, nextRandom })).not.to.equal(undefined);
  });
});

describe('PreferredPlacement', () => {
  const placement = new PreferredPlacement(FAR_FACTOR);
  const nextRandom = createRandom(3);
  const half = { cpuMilli: 8_000, memoryMb: 1_000, gpus: 0 };
  const none = { cpuMilli: 0, memoryMb: 0, gpus: 0 };

  /** Creates many executors, one of which prefers the dispatcher. */
  function createExecutors(preferred: Partial<CapacityReport>): ExecutorView[] {
    return Array.from({ length: 35 }, (_, at) =>
      createExecutor(`a${at}`, 'r1', at === 7 ? { isHome: true, ...preferred } : {}),
    );
  }

  it('chooses the executor that prefers this dispatcher, even if others have less load', () => {
    const executors = createExecutors({ free: half });
    for (let round = 0; round < 50; round += 1) {
      expect(placement.choose(createTask(''), executors, { ...CONTEXT, nextRandom })?.processId).to.equal(
        'a7',
      );
    }
  });

  it('chooses another executor if that one is full or slow', () => {
    for (const change of [{ free: none }, { speed: 0.7 }]) {
      const chosen = placement.choose(createTask(''), createExecutors(change), { ...CONTEXT, nextRandom });
      expect(chosen?.processId).to.not.equal('a7');
      expect(chosen).to.not.equal(undefined);
    }
  });
});
