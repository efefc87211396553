import { expect } from 'chai';
import fc from 'fast-check';

import { DispatcherFixture } from '../../../test/fakes/DispatcherFixture.js';
import { ROUTE, STEP } from '../../../test/fakes/dispatchFixtures.js';
import { FakeCaller } from '../../../test/fakes/FakeCaller.js';
import { encodePeerMessage } from '../../connection/peer/encodePeerMessage.js';
import { parsePeerMessage } from '../../connection/peer/parsePeerMessage.js';
import { MAX_RESOURCE_AMOUNT } from '../../connection/schemaBounds.js';
import { DemandReporter } from './DemandReporter.js';

const SEED = 20261207;
const PING_MS = 100;
const VERSIONS = { version: 3, emptiedRevision: 4 };

describe('DemandReporter', () => {
  const channel = { send: () => undefined };

  // Three tasks of 1,000,000 cores each made a sum that no executor accepted.
  it('builds only what executors accept, whatever waits and however fast upstreams claim to be', () => {
    const cpu = fc.oneof(fc.constant(MAX_RESOURCE_AMOUNT), fc.nat(MAX_RESOURCE_AMOUNT));
    const speed = fc.oneof(
      fc.constantFrom(0, 1e-300, 1e308, Number.MAX_VALUE),
      fc.double({ min: 0, noNaN: true }),
    );
    const states = fc.tuple(fc.array(fc.tuple(cpu, fc.nat(50)), { maxLength: 8 }), fc.array(speed));
    const property = fc.property(states, ([steps, speeds]) => {
      const fixture = new DispatcherFixture();
      const { dispatcher } = fixture;
      speeds.forEach((value, index) => fixture.ping(fixture.link(`a${index}`, 0), 0, { speed: value }));
      dispatcher.tick(0);
      steps.forEach(([cpuMilli, count], index) => {
        const step = { ...STEP, count, estimateMs: 1, resources: { cpuMilli, memoryMb: 1, gpus: 9 } };
        const submission = { id: `j${index}`, route: ROUTE, spec: '', steps: [step], patienceMs: 10_000 };
        dispatcher.submit(submission, new FakeCaller(), 0);
      });
      const reporter = new DemandReporter(dispatcher, PING_MS);
      const messages = [reporter.buildPong(channel, { at: 1 }, VERSIONS, 0), reporter.takeNotice(0)];
      for (const message of messages) {
        if (!message) continue;
        const { line, faults } = encodePeerMessage(message);
        expect(faults).to.deep.equal([]);
        expect(parsePeerMessage(line)).to.deep.include({ faults: [], problem: '' });
      }
    });
    fc.assert(property, { seed: SEED });
  });

  it('names the amount in the first pong of a link and while tasks wait, and a notice once an interval', () => {
    const state = { typicalSpeed: 1, waitingTasks: 0, waitingCpuMilli: 0 };
    const reporter = new DemandReporter(state, PING_MS);
    const readAmount = (): number | undefined =>
      reporter.buildPong(channel, { at: 1 }, VERSIONS, undefined).waitingCpuMilli;
    expect([readAmount(), readAmount(), reporter.takeNotice(0)]).to.deep.equal([0, undefined, undefined]);
    Object.assign(state, { waitingTasks: 2, waitingCpuMilli: 700 });
    expect([readAmount(), readAmount()]).to.deep.equal([700, 700]);
    const notices = [0, PING_MS - 1, PING_MS].map((now) => reporter.takeNotice(now)?.waitingCpuMilli);
    expect(notices).to.deep.equal([700, undefined, 700]);
  });
});
