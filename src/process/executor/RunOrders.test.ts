import { expect } from 'chai';

import { SessionFixture } from '../../../test/fakes/SessionFixture.js';
import { buildStartOrder } from '../../../test/fakes/upstreamFixtures.js';

describe('RunOrders', () => {
  let fixture: SessionFixture;

  beforeEach(() => {
    fixture = new SessionFixture();
  });

  afterEach(() => fixture.session.close('test ends'));

  it('logs owner, attempt, run, lease end and answer of each start and stop', async () => {
    await fixture.start();
    fixture.upstream.taskMs = 2_000;
    const leaseUntilMs = fixture.upstream.clockMs + 500;
    fixture.session.offer(buildStartOrder(0), 'dispatcher');
    await fixture.clock.advance(20);
    fixture.session.stop('job/0/0', 1, 'dispatcher', 'moved');
    await fixture.clock.advance(20);
    const lines = fixture.logged.filter(({ event }) => event.startsWith('run-'));
    const names = { task: 'job/0/0', run: 1, attempt: 1, entryLife: 'dispatcher', sends: 0 };
    expect(lines[0]).to.deep.include({ event: 'run-start' });
    expect(lines[0]?.fields).to.include({ ...names, answer: 'started' });
    expect(lines[0]?.fields['leaseUntilMs']).to.be.within(leaseUntilMs - 10, leaseUntilMs);
    expect(lines[1]).to.deep.include({ event: 'run-stop' });
    expect(lines[1]?.fields).to.include({ ...names, answer: 'accepted', reason: 'moved' });
  });

  // Guards against a start that is returned as not run, and so sent elsewhere, while its task runs here.
  it('keeps a start of a task while a run that another dispatcher ordered goes on', async () => {
    await fixture.start();
    fixture.upstream.taskMs = 2_000;
    fixture.upstream.lostStops = 6;
    fixture.session.offer(buildStartOrder(0), 'dispatcher');
    await fixture.clock.advance(20);
    const name = { ...buildStartOrder(0).name, attempt: 7 };
    fixture.session.offer(buildStartOrder(0, { name, expiresAt: fixture.clock.now() + 100 }), 'second');
    for (let runs = true; runs; runs = fixture.upstream.running.has('job/0/0')) {
      fixture.session.startWaitingTasks();
      expect(fixture.results).to.deep.equal([]);
      await fixture.clock.advance(5);
    }
    await fixture.clock.advance(40);
    expect(fixture.results).to.deep.equal(['0 stopped submitted-elsewhere', '0 not-run expired']);
  });
});
