import { expect } from 'chai';

import { DispatcherFixture, STEP } from '../../../test/fakes/DispatcherFixture.js';
import { ROUTE } from '../../../test/fakes/dispatchFixtures.js';

describe('a job that no upstream could serve', () => {
  let fixture: DispatcherFixture;
  const EXCESSIVE = { ...STEP, resources: { ...STEP.resources, gpus: 1 } };
  /** Time at which all upstreams are known, ms. */
  const SETTLED = 6_000;

  beforeEach(() => {
    fixture = new DispatcherFixture();
  });

  function settle(): string {
    const id = fixture.link('a', 0);
    for (let now = 0; now <= SETTLED; now += 1_000) {
      fixture.ping(id, now);
      fixture.dispatcher.tick(now);
    }
    return id;
  }

  it('is refused at once, with the reason and when to return', () => {
    settle();
    fixture.submit(SETTLED, { steps: [STEP, EXCESSIVE] });
    expect(fixture.caller.answers).to.deep.equal([
      {
        kind: 'refused',
        reason: 'no-upstream-fits',
        retryAfterMs: 10_000,
        findings: [
          {
            pointer: '/steps/1',
            message: 'no upstream of the service has had 1 cores, 10 MB and 1 GPUs',
          },
        ],
      },
    ]);
    expect([fixture.dispatcher.openJobs, fixture.starts.length]).to.deep.equal([0, 0]);
  });

  it('waits until all upstreams are known, and is refused then', () => {
    fixture.submit(0, {
      steps: [EXCESSIVE],
      patienceMs: 60_000,
      route: { ...ROUTE, targetLatencyMs: 60_000 },
    });
    expect(fixture.caller.answers).to.deep.equal([]);
    settle();
    expect(fixture.caller.answers.map((outcome) => 'reason' in outcome && outcome.reason)).to.deep.equal([
      'no-upstream-fits',
    ]);
  });

  it('is kept if an upstream has had the capacity before it shrank', () => {
    const id = settle();
    const capacity = { cpuMilli: 500, memoryMb: 1_000, gpus: 0 };
    const description = { upstream: 'of-a', service: 'service', labels: [], capacity };
    fixture.ping(id, SETTLED, { description, free: capacity });
    fixture.submit(SETTLED);
    expect(fixture.caller.answers).to.deep.equal([]);
    fixture.ping(id, SETTLED + 10);
    fixture.dispatcher.place(SETTLED + 10);
    expect(fixture.starts).to.have.length(STEP.count);
  });

  // One that waits for a GPU that nobody has kept back all that need as much CPU.
  it('keeps back no other one while it waits', () => {
    fixture.submit(0, { steps: [EXCESSIVE] });
    fixture.ping(fixture.link('a', 0), 0);
    fixture.submit(0, { id: 'other' });
    expect(fixture.starts.map(({ order }) => order.name.job)).to.deep.equal(['other', 'other']);
  });
});
