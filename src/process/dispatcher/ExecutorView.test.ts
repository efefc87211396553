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

/** Tells the room some time after it was told before. */
function tellFree(
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

describe('AgentView', () => {
  let view: ExecutorView;

  beforeEach(() => {
    const hello = { agent: 'a1', life: '1', failureDomain: 'x', entryLife: '', orphanMs: 1_000 };
    view = new ExecutorView({ type: 'agent-hello', holding: [], results: [], ...hello }, 0);
    tellFree(view, 10_000);
  });

  it('sees no risk where nobody else takes room', () => {
    view.reserve(NEED);
    tellFree(view, 9_000, 1);
    expect(view.estimateRisk(NEED, now + REPORT_MS)).to.equal(0);
  });

  it('sees a risk once others take room, the larger the less is left', () => {
    tellFree(view, 8_000);
    const withMuch = view.estimateRisk(NEED, now + REPORT_MS);
    tellFree(view, 2_000);
    expect(withMuch).to.be.within(0, 0.5);
    expect(view.estimateRisk(NEED, now + REPORT_MS)).to.be.greaterThan(withMuch);
  });

  it('sees a larger risk the longer ago the room was told', () => {
    tellFree(view, 8_000);
    expect(view.estimateRisk(NEED, now + 1)).to.be.lessThan(view.estimateRisk(NEED, now + REPORT_MS));
  });

  it('does not take its own starts and ends for those of others', () => {
    view.reserve(NEED);
    view.reserve(NEED);
    tellFree(view, 8_000, 2);
    view.release(NEED);
    tellFree(view, 9_000, 2);
    expect(view.estimateRisk(NEED, now + REPORT_MS)).to.equal(0);
  });

  it('does not compare the rooms of two upstreams', () => {
    tellFree(view, 1_000, 0, 'u2');
    expect(view.estimateRisk(NEED, now + REPORT_MS)).to.equal(0);
  });

  it('counts what others take from when the agent was met, also if its first ping tells no room', () => {
    const hello = { agent: 'a2', life: '1', failureDomain: 'x', entryLife: '', orphanMs: 1_000 };
    const ping = { type: 'ping', at: 0, version: 1, room: undefined, progress: undefined } as const;
    const risks = [0, 60_000].map((metAt) => {
      const late = new ExecutorView({ type: 'agent-hello', holding: [], results: [], ...hello }, metAt);
      now = metAt;
      late.recordPing(ping, now);
      tellFree(late, 10_000);
      tellFree(late, 4_000);
      return late.estimateRisk(NEED, now + REPORT_MS);
    });
    expect(risks[0]).to.be.greaterThan(0);
    expect(risks[1]).to.be.closeTo(risks[0] ?? 0, 0.001);
  });

  it('follows a capacity that changes, and takes that for no room that others took', () => {
    tellFree(view, 4_000, 0, 'u1', buildAmount(4_000));
    expect([view.free.cpuMilli, view.room?.capacity.cpuMilli]).to.deep.equal([4_000, 4_000]);
    expect(view.estimateRisk(NEED, now + REPORT_MS)).to.equal(0);
    tellFree(view, -2_000, 0, 'u1', buildAmount(1_000));
    expect(view.free.cpuMilli).to.equal(-2_000);
  });
});
