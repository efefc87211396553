import { expect } from 'chai';

import type { CapacityReport } from '../../connection/peer/peerMessages.js';
import type { Resources } from '../../request/dispatch/submission.js';
import { ExecutorView } from './ExecutorView.js';

function buildAmount(cpuMilli: number): Resources {
  return { cpuMilli, memoryMb: 0, gpus: 0 };
}

const CAPACITY = buildAmount(10_000);
const NEED = buildAmount(1_000);

const REPORT_MS = 100;
let now = 0;

/** Reports free CPU one interval after the previous report. */
function reportFree(
  view: ExecutorView,
  cpuMilli: number,
  startsSeen = 0,
  upstream = 'u1',
  capacity = CAPACITY,
): void {
  now += REPORT_MS;
  const description = { upstream, service: 'service', labels: [], capacity };
  const rest: Omit<CapacityReport, 'description' | 'free'> = {
    state: 'ready',
    trust: 'healthy',
    startsSeen,
    speed: 1,
  };
  view.recordCapacity({ description, free: buildAmount(cpuMilli), ...rest }, now);
}

describe('ExecutorView', () => {
  let view: ExecutorView;

  beforeEach(() => {
    const hello = { agent: 'a1', life: '1', failureDomain: 'x', entryLife: '', orphanMs: 1_000 };
    view = new ExecutorView({ type: 'agent-hello', holding: [], results: [], ...hello }, 0);
    reportFree(view, 10_000);
  });

  it('estimates no risk while no other dispatcher takes capacity', () => {
    view.reserve(NEED);
    reportFree(view, 9_000, 1);
    expect(view.estimateRisk(NEED, now + REPORT_MS)).to.equal(0);
  });

  it('estimates a higher risk the less capacity other dispatchers leave', () => {
    reportFree(view, 8_000);
    const withMuch = view.estimateRisk(NEED, now + REPORT_MS);
    reportFree(view, 2_000);
    expect(withMuch).to.be.within(0, 0.5);
    expect(view.estimateRisk(NEED, now + REPORT_MS)).to.be.greaterThan(withMuch);
  });

  it('estimates a higher risk the older the report is', () => {
    reportFree(view, 8_000);
    expect(view.estimateRisk(NEED, now + 1)).to.be.lessThan(view.estimateRisk(NEED, now + REPORT_MS));
  });

  it('does not attribute own starts and ends to other dispatchers', () => {
    view.reserve(NEED);
    view.reserve(NEED);
    reportFree(view, 8_000, 2);
    view.release(NEED);
    reportFree(view, 9_000, 2);
    expect(view.estimateRisk(NEED, now + REPORT_MS)).to.equal(0);
  });

  it('does not compare reports of two upstreams', () => {
    reportFree(view, 1_000, 0, 'u2');
    expect(view.estimateRisk(NEED, now + REPORT_MS)).to.equal(0);
  });

  // Guards against starts on the report of an earlier link, when another upstream has replaced the one reported.
  it('is not ready on a new link before a report on that link', () => {
    expect(view.isReady(now, Infinity)).to.equal(true);
    const hello = { agent: 'a1', life: '1', failureDomain: 'x', entryLife: '', orphanMs: 1_000 };
    view.reopen({ type: 'agent-hello', holding: [], results: [], ...hello }, now);
    expect(view.isReady(now, Infinity)).to.equal(false);
    view.recordPing({ type: 'ping', at: 0, version: 1, room: undefined, progress: undefined }, now);
    expect(view.isReady(now, Infinity)).to.equal(false);
    reportFree(view, 10_000);
    expect(view.isReady(now, Infinity)).to.equal(true);
  });

  it('observes other dispatchers from the hello on, even if the first ping has no report', () => {
    const hello = { agent: 'a2', life: '1', failureDomain: 'x', entryLife: '', orphanMs: 1_000 };
    const ping = { type: 'ping', at: 0, version: 1, room: undefined, progress: undefined } as const;
    const risks = [0, 60_000].map((linkedAt) => {
      const late = new ExecutorView({ type: 'agent-hello', holding: [], results: [], ...hello }, linkedAt);
      now = linkedAt;
      late.recordPing(ping, now);
      reportFree(late, 10_000);
      reportFree(late, 4_000);
      return late.estimateRisk(NEED, now + REPORT_MS);
    });
    expect(risks[0]).to.be.greaterThan(0);
    expect(risks[1]).to.be.closeTo(risks[0] ?? 0, 0.001);
  });

  it('follows a changed capacity without attributing it to other dispatchers', () => {
    reportFree(view, 4_000, 0, 'u1', buildAmount(4_000));
    expect([view.free.cpuMilli, view.report?.capacity.cpuMilli]).to.deep.equal([4_000, 4_000]);
    expect(view.estimateRisk(NEED, now + REPORT_MS)).to.equal(0);
    reportFree(view, -2_000, 0, 'u1', buildAmount(1_000));
    expect(view.free.cpuMilli).to.equal(-2_000);
  });
});
