import { expect } from 'chai';

import { CrashLedger } from './CrashLedger.js';
import type { TaskCrash } from './CrashLedger.js';

const LIMIT = 2;
const FLEET = { inDomain: 6, all: 18, downInDomain: 0, down: 0 };
/** Interval between two unrelated crashes, ms. */
const APART_MS = 2_000;

function buildTask(index: number): { job: string; step: number; index: number } {
  return { job: 'job', step: 0, index };
}

const TASK = buildTask(0);

function buildCrash(change: Partial<TaskCrash> = {}): TaskCrash {
  return {
    executorId: 'a',
    failureDomain: 'x',
    isIsolated: false,
    ranMs: 700,
    estimateMs: 100,
    ...change,
  };
}

describe('CrashLedger', () => {
  let ledger: CrashLedger;

  beforeEach(() => {
    ledger = new CrashLedger(LIMIT);
  });

  it('suspects every task that ran during a crash', () => {
    for (let index = 0; index < 3; index += 1) ledger.recordCrash(buildTask(index), buildCrash(), FLEET, 0);
    expect([0, 1, 2, 3].map((index) => ledger.isSuspect(buildTask(index)))).to.deep.equal([
      true,
      true,
      true,
      false,
    ]);
    expect(ledger.listOverLimit('job')).to.deep.equal([]);
  });

  it('puts a task over the limit after enough crashes while it was isolated', () => {
    ledger.recordCrash(TASK, buildCrash({ executorId: 'a' }), FLEET, 0);
    ledger.recordCrash(TASK, buildCrash({ executorId: 'b', isIsolated: true }), FLEET, APART_MS);
    expect(ledger.isOverLimit(TASK)).to.equal(false);
    ledger.recordCrash(TASK, buildCrash({ executorId: 'c', isIsolated: true }), FLEET, 2 * APART_MS);
    expect(ledger.isOverLimit(TASK)).to.equal(true);
    expect(ledger.listOverLimit('job')).to.have.length(1);
  });

  it('clears a task that is done', () => {
    ledger.recordCrash(TASK, buildCrash(), FLEET, 0);
    expect(ledger.release(TASK)).to.equal(true);
    expect([ledger.isSuspect(TASK), ledger.size, ledger.release(TASK)]).to.deep.equal([false, 0, false]);
  });

  it('blames no task for correlated crashes in a failure domain', () => {
    for (const [at, executorId] of ['a', 'b', 'c', 'd'].entries())
      ledger.recordCrash(buildTask(at), buildCrash({ executorId, isIsolated: true }), FLEET, at * 300);
    expect([0, 1, 2, 3].filter((index) => ledger.isSuspect(buildTask(index)))).to.deep.equal([]);
  });

  it('blames no task for correlated crashes across failure domains', () => {
    for (const [at, executorId] of ['a', 'b', 'c', 'd', 'e', 'f'].entries())
      ledger.recordCrash(
        buildTask(at),
        buildCrash({ executorId, failureDomain: executorId }),
        FLEET,
        at * 200,
      );
    expect([0, 1, 2, 3, 4, 5].filter((index) => ledger.isSuspect(buildTask(index)))).to.deep.equal([]);
  });

  it('blames no task while many upstreams are down, even if few crashes were reported', () => {
    ledger.recordCrash(TASK, buildCrash({ isIsolated: true }), { ...FLEET, down: 6 }, 0);
    ledger.recordCrash(buildTask(1), buildCrash({ executorId: 'b' }), { ...FLEET, downInDomain: 3 }, 5_000);
    expect([ledger.isSuspect(TASK), ledger.isSuspect(buildTask(1))]).to.deep.equal([false, false]);
  });

  it('never reports negative counts, even if another dispatcher has revoked the same crash', () => {
    ledger.recordCrash(TASK, buildCrash({ isIsolated: true }), FLEET, 0);
    const report = { ...TASK, revision: 9, crashes: 1, blames: 0, proofs: 0 };
    ledger.adopt([report], 100);
    ledger.recordCrash(buildTask(1), buildCrash({ executorId: 'b' }), { ...FLEET, down: 6 }, 200);
    for (const { blames, proofs } of ledger.list()) expect([blames, proofs]).to.deep.equal([0, 0]);
  });

  it('removes a task with many crashes only after all others', () => {
    for (let at = 0; at < LIMIT; at += 1) ledger.recordCrash(TASK, buildCrash(), FLEET, at * APART_MS);
    for (let index = 0; index < 1_200; index += 1) {
      const name = { job: `other${index}`, step: 0, index: 0 };
      ledger.recordCrash(name, buildCrash({ executorId: 'z' }), FLEET, 10_000 + index);
    }
    expect(ledger.countCrashes(TASK)).to.equal(LIMIT);
  });

  it('puts a task over the limit after enough crashes, even if they are correlated', () => {
    for (let count = 0; count < LIMIT + 2; count += 1) {
      expect(ledger.isOverLimit(TASK)).to.equal(false);
      for (const executorId of ['b', 'c', 'd'])
        ledger.recordCrash(buildTask(9), buildCrash({ executorId }), FLEET, count * APART_MS);
      ledger.recordCrash(TASK, buildCrash({ executorId: 'a' }), FLEET, count * APART_MS);
    }
    expect(ledger.isOverLimit(TASK)).to.equal(true);
  });

  it('does not count a crash after a long run as proof', () => {
    const crash = buildCrash({ isIsolated: true, ranMs: 4_000 });
    for (let at = 0; at < LIMIT; at += 1) ledger.recordCrash(TASK, crash, FLEET, at * APART_MS);
    expect(ledger.isOverLimit(TASK)).to.equal(false);
  });

  it('returns updates for other dispatchers once, which merge them once', () => {
    const crash = buildCrash({ isIsolated: true });
    for (let at = 0; at < LIMIT; at += 1) ledger.recordCrash(TASK, crash, FLEET, at * APART_MS);
    const updates = ledger.takeUpdates();
    expect(ledger.takeUpdates()).to.deep.equal([]);
    const other = new CrashLedger(LIMIT);
    expect(other.adopt(updates, 0)).to.deep.equal(updates);
    expect(other.adopt(updates, 0)).to.deep.equal([]);
    expect(other.isOverLimit(TASK)).to.equal(true);
    expect(ledger.adopt(updates, 0)).to.deep.equal([]);
  });

  it('continues from the counts of another dispatcher', () => {
    const crash = buildCrash({ isIsolated: true });
    ledger.recordCrash(TASK, crash, FLEET, 0);
    const other = new CrashLedger(LIMIT);
    other.adopt(ledger.takeUpdates(), 0);
    other.recordCrash(TASK, crash, FLEET, APART_MS);
    expect(other.isOverLimit(TASK)).to.equal(true);
  });

  it('limits the number of counted tasks, and removes them after the retention time', () => {
    for (let index = 0; index < 1_200; index += 1) {
      const name = { job: `job${index}`, step: 0, index: 0 };
      ledger.recordCrash(name, buildCrash(), FLEET, index);
    }
    expect(ledger.size).to.equal(1_000);
    ledger.tick(40_000);
    expect(ledger.size).to.equal(0);
  });

  it('counts nothing if the limit is 0', () => {
    const off = new CrashLedger(0);
    off.recordCrash(TASK, buildCrash({ isIsolated: true }), FLEET, 0);
    expect([off.size, off.isSuspect(TASK), off.takeUpdates().length]).to.deep.equal([0, false, 0]);
  });
});
