import { expect } from 'chai';

import { ROUTE, STEP } from '../../../test/fakes/dispatchFixtures.js';
import type { UpstreamDescription } from '../../connection/peer/peerMessages.js';
import type { JobSubmission, StepNeed } from '../../request/dispatch/submission.js';
import { KnownCapacities } from './KnownCapacities.js';

const SERVICE = 'service';
const CAPACITY = { cpuMilli: 4_000, memoryMb: 1_000, gpus: 0 };
const UPSTREAM: UpstreamDescription = { upstream: 'u', service: SERVICE, labels: ['a'], capacity: CAPACITY };
/** After the time in which all upstreams become known. */
const SETTLED = 5_000;
/** After the time for which an upstream that is gone is remembered. */
const FORGOTTEN = 700_000;

function buildStep(change: Partial<StepNeed['resources']>, requiredLabel = ''): StepNeed {
  return { ...STEP, resources: { ...STEP.resources, ...change }, requiredLabel };
}

function buildJob(steps: readonly StepNeed[], service = SERVICE): JobSubmission {
  return { id: 'job', route: { ...ROUTE, service }, spec: '', steps, patienceMs: 1_000 };
}

describe('KnownCapacities', () => {
  let capacities: KnownCapacities;

  beforeEach(() => {
    capacities = new KnownCapacities();
    capacities.record(UPSTREAM, 0);
  });

  function isExcessive(step: StepNeed, now = SETTLED, service = SERVICE): boolean {
    return capacities.findRefusal(buildJob([STEP, step], service), now) !== undefined;
  }

  it('finds a step that needs more of one resource than any upstream has, and names it', () => {
    const fitting = buildStep({ ...CAPACITY }, 'a');
    expect(isExcessive(fitting)).to.equal(false);
    for (const step of [
      buildStep({ cpuMilli: 4_001 }),
      buildStep({ memoryMb: 1_001 }),
      buildStep({ gpus: 1 }),
    ])
      expect(isExcessive(step)).to.equal(true);
    const refusal = capacities.findRefusal(buildJob([STEP, buildStep({ gpus: 2 }, 'b')]), SETTLED);
    expect(refusal?.findings).to.deep.equal([
      {
        pointer: '/steps/1',
        message: 'no upstream of the service has had 1 cores, 10 MB and 2 GPUs and the required label',
      },
    ]);
  });

  it('requires the label and all resources of the same upstream', () => {
    capacities.record({ ...UPSTREAM, labels: ['b'], capacity: { ...CAPACITY, gpus: 2 } }, 1_000);
    expect(isExcessive(buildStep({ gpus: 2 }, 'b'))).to.equal(false);
    expect(isExcessive(buildStep({ gpus: 2 }, 'a'))).to.equal(true);
    expect(isExcessive(buildStep({}, 'c'))).to.equal(true);
  });

  it('ignores a step without tasks', () => {
    expect(isExcessive({ ...buildStep({ gpus: 9 }), count: 0 })).to.equal(false);
  });

  it('finds nothing until all upstreams of the service may be known', () => {
    const step = buildStep({ gpus: 1 });
    expect(isExcessive(step, SETTLED - 1)).to.equal(false);
    expect(isExcessive(step, SETTLED, 'other')).to.equal(false);
    const ticks = [SETTLED - 1, SETTLED, SETTLED + 1].map((now) => capacities.tick(now));
    expect(ticks).to.deep.equal([false, true, false]);
  });

  // A capacity shrinks and grows again, and an upstream that is gone may come back.
  it('counts what an upstream has had before it shrank or was gone', () => {
    const smaller = { ...CAPACITY, cpuMilli: 1_000 };
    const step = buildStep({ cpuMilli: 4_000 });
    capacities.record({ ...UPSTREAM, capacity: smaller }, 1_000);
    expect(isExcessive(step)).to.equal(false);
    capacities = new KnownCapacities();
    capacities.record({ ...UPSTREAM, capacity: smaller, largest: CAPACITY }, 0);
    expect(isExcessive(step)).to.equal(false);
  });

  it('forgets an upstream that is gone for long, and the service with its last one', () => {
    capacities.record({ ...UPSTREAM, labels: ['b'] }, FORGOTTEN);
    capacities.tick(FORGOTTEN);
    expect(isExcessive(buildStep({}, 'a'), FORGOTTEN)).to.equal(true);
    capacities.tick(2 * FORGOTTEN);
    expect(isExcessive(buildStep({}, 'b'), 2 * FORGOTTEN)).to.equal(false);
  });

  it('remembers a limited number of kinds, the newest', () => {
    for (let number = 0; number < 1_000; number += 1)
      capacities.record({ ...UPSTREAM, labels: [`r${number}`] }, 1 + number);
    expect(isExcessive(buildStep({}, 'a'))).to.equal(true);
    expect(isExcessive(buildStep({}, 'r0'))).to.equal(false);
  });
});
