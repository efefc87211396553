import { expect } from 'chai';

import type { CapacityReport, ExecutorHello } from '../../connection/peer/peerMessages.js';
import { ExecutorTable } from './ExecutorTable.js';

const CAPACITY = { cpuMilli: 4_000, memoryMb: 10, gpus: 0 };

function buildHello(life: string): ExecutorHello {
  const names = { agent: 'a1', life, failureDomain: 'x', entryLife: '', orphanMs: 1_000 };
  return { type: 'agent-hello', holding: [], results: [], ...names };
}

function buildReport(cpuMilli: number, change: Partial<CapacityReport> = {}): CapacityReport {
  const capacity = { ...CAPACITY, cpuMilli };
  const description = { upstream: 'u1', service: 'service', labels: [], capacity };
  return {
    description,
    state: 'ready',
    trust: 'healthy',
    free: capacity,
    startsSeen: 0,
    speed: 1,
    ...change,
  };
}

describe('ExecutorTable', () => {
  let table: ExecutorTable;

  beforeEach(() => {
    table = new ExecutorTable(500);
  });

  function addExecutor(life: string, at: number, report: CapacityReport): void {
    table.add(buildHello(life), at).recordCapacity(report, at);
  }

  it('finds the capacity that the latest earlier incarnation has reported, and its age', () => {
    addExecutor('1', 100, buildReport(4_000));
    addExecutor('2', 200, buildReport(1_000));
    const capacity = { ...CAPACITY, cpuMilli: 1_000 };
    expect(table.findEarlierCapacity(buildHello('3'), 250)).to.deep.equal({
      upstream: 'u1',
      capacity,
      ageMs: 50,
    });
    expect(table.findEarlierCapacity(buildHello('2'), 250)?.ageMs).to.equal(150);
    expect(table.findEarlierCapacity({ ...buildHello('1'), agent: 'a2' }, 250)).to.equal(undefined);
  });

  it('skips an incarnation that has only recalled the capacity, so that its age is that of the report', () => {
    addExecutor('1', 100, buildReport(1_000));
    addExecutor('2', 200, buildReport(4_000, { isRecalled: true }));
    addExecutor('3', 210, buildReport(0, { state: 'absent' }));
    expect(table.findEarlierCapacity(buildHello('4'), 250)).to.include({ ageMs: 150 });
  });

  it('finds no capacity of an upstream that drains', () => {
    addExecutor('1', 100, buildReport(4_000));
    addExecutor('2', 200, buildReport(4_000, { state: 'draining', isUpstreamDraining: true }));
    expect(table.findEarlierCapacity(buildHello('3'), 250)).to.equal(undefined);
    addExecutor('4', 220, buildReport(4_000, { state: 'draining' }));
    expect(table.findEarlierCapacity(buildHello('3'), 250)).to.include({ ageMs: 30 });
  });
});
