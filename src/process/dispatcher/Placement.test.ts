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

function createAgent(agent: string, rack: string, change: Partial<CapacityReport> = {}): ExecutorView {
  const hello = { type: 'agent-hello', agent, life: '1', failureDomain: 'x', orphanMs: 1_000 } as const;
  const view = new ExecutorView({ ...hello, holding: [], results: [], entryLife: '' }, 0);
  const description = { upstream: agent, service: 'service', labels: [rack], capacity: CAPACITY };
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

  it('has entries that see the same room spread their choices', () => {
    const agents = Array.from({ length: 35 }, (_, at) => createAgent(`a${at}`, 'r1'));
    const chosen = new Set<string>();
    for (let entry = 0; entry < 200; entry += 1)
      chosen.add(placement.choose(createTask(''), agents, { ...CONTEXT, nextRandom })?.id ?? '');
    expect(chosen.size).to.be.greaterThan(30);
  });

  it('prefers the less loaded of those it compares', () => {
    const full = { cpuMilli: 1_000, memoryMb: 1_000, gpus: 0 };
    const agents = [createAgent('full', 'r1', { free: full }), createAgent('idle', 'r1')];
    for (let entry = 0; entry < 50; entry += 1) {
      const chosen = placement.choose(createTask(''), agents, { ...CONTEXT, nextRandom });
      expect(chosen?.agent).to.equal('idle');
    }
  });

  it('finds the rack that holds the data among many', () => {
    const agents = Array.from({ length: 35 }, (_, at) => createAgent(`a${at}`, at === 17 ? 'data' : 'r1'));
    for (let entry = 0; entry < 50; entry += 1) {
      const chosen = placement.choose(createTask('data'), agents, { ...CONTEXT, nextRandom });
      expect(chosen?.agent).to.equal('a17');
    }
  });

  it('finds the only agent with room among many', () => {
    const none = { cpuMilli: 0, memoryMb: 0, gpus: 0 };
    const agents = Array.from({ length: 35 }, (_, at) =>
      createAgent(`a${at}`, 'r1', at === 3 ? {} : { free: none }),
    );
    expect(placement.choose(createTask(''), agents, { ...CONTEXT, nextRandom })?.agent).to.equal('a3');
  });
});

describe('GroupedPlacement', () => {
  const placement = new GroupedPlacement(FAR_FACTOR);
  const nextRandom = createRandom(2);
  const agents = Array.from({ length: 35 }, (_, at) => createAgent(`a${at}`, 'r1'));

  function createSecondTask(lastAgent: string): DispatchTask {
    const task = createTask('');
    task.job.lastAgent = lastAgent;
    return task;
  }

  it('sends tasks of one job to the same agent while it costs about the same', () => {
    for (let round = 0; round < 50; round += 1) {
      const chosen = placement.choose(createSecondTask('a20@1'), agents, { ...CONTEXT, nextRandom });
      expect(chosen?.id).to.equal('a20@1');
    }
  });

  it('goes elsewhere when the agent has no room, is slow, or has failed the task', () => {
    const none = { cpuMilli: 0, memoryMb: 0, gpus: 0 };
    const full = [createAgent('last', 'r1', { free: none }), createAgent('other', 'r1')];
    const slow = [createAgent('last', 'r1', { speed: 0.6 }), createAgent('other', 'r1')];
    const avoided = createSecondTask('last@1');
    avoided.avoid.add('last@1');
    for (const [task, some] of [
      [createSecondTask('last@1'), full],
      [createSecondTask('last@1'), slow],
      [avoided, [createAgent('last', 'r1'), createAgent('other', 'r1')]],
    ] as const) {
      expect(placement.choose(task, some, { ...CONTEXT, nextRandom })?.agent).to.equal('other');
    }
  });

  it('places the first task of a job as any other', () => {
    expect(placement.choose(createTask(''), agents, { ...CONTEXT, nextRandom })).not.to.equal(undefined);
  });
});

describe('HomePlacement', () => {
  const placement = new PreferredPlacement(FAR_FACTOR);
  const nextRandom = createRandom(3);
  const half = { cpuMilli: 8_000, memoryMb: 1_000, gpus: 0 };
  const none = { cpuMilli: 0, memoryMb: 0, gpus: 0 };

  /** Many agents, of which one prefers the dispatcher. */
  function createAgents(home: Partial<CapacityReport>): ExecutorView[] {
    return Array.from({ length: 35 }, (_, at) =>
      createAgent(`a${at}`, 'r1', at === 7 ? { isHome: true, ...home } : {}),
    );
  }

  it('chooses the agent that prefers this dispatcher, though others are emptier', () => {
    const agents = createAgents({ free: half });
    for (let round = 0; round < 50; round += 1) {
      expect(placement.choose(createTask(''), agents, { ...CONTEXT, nextRandom })?.agent).to.equal('a7');
    }
  });

  it('goes elsewhere when that agent is full or slow', () => {
    for (const change of [{ free: none }, { speed: 0.7 }]) {
      const chosen = placement.choose(createTask(''), createAgents(change), { ...CONTEXT, nextRandom });
      expect(chosen?.agent).to.not.equal('a7');
      expect(chosen).to.not.equal(undefined);
    }
  });
});
