import { expect } from 'chai';

import { CrashLedger } from './CrashLedger.js';
import type { TaskCrash } from './CrashLedger.js';

const LIMIT = 2;
const FLEET = { inDomain: 6, all: 18, downInDomain: 0, down: 0 };
/** Between two crashes that have nothing to do with each other, ms. */
const APART_MS = 2_000;

function buildTask(index: number): { job: string; step: number; index: number } {
  return { job: 'job', step: 0, index };
}

const TASK = buildTask(0);

function buildCrash(change: Partial<TaskCrash> = {}): TaskCrash {
  return {
    agent: 'a',
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

  it('suspects every task that was at a crash', () => {
    for (let index = 0; index < 3; index += 1) ledger.recordCrash(buildTask(index), buildCrash(), FLEET, 0);
    expect([0, 1, 2, 3].map((index) => ledger.isSuspect(buildTask(index)))).to.deep.equal([
      true,
      true,
      true,
      false,
    ]);
    expect(ledger.listCondemned('job')).to.deep.equal([]);
  });

  it('condemns a task under which the limit of upstreams has crashed while it was isolated', () => {
    ledger.recordCrash(TASK, buildCrash({ agent: 'a' }), FLEET, 0);
    ledger.recordCrash(TASK, buildCrash({ agent: 'b', isIsolated: true }), FLEET, APART_MS);
    expect(ledger.isCondemned(TASK)).to.equal(false);
    ledger.recordCrash(TASK, buildCrash({ agent: 'c', isIsolated: true }), FLEET, 2 * APART_MS);
    expect(ledger.isCondemned(TASK)).to.equal(true);
    expect(ledger.listCondemned('job')).to.have.length(1);
  });

  it('clears a task that is done', () => {
    ledger.recordCrash(TASK, buildCrash(), FLEET, 0);
    expect(ledger.release(TASK)).to.equal(true);
    expect([ledger.isSuspect(TASK), ledger.size, ledger.release(TASK)]).to.deep.equal([false, 0, false]);
  });

  it('blames nobody for crashes of a failure domain that come together', () => {
    for (const [at, agent] of ['a', 'b', 'c', 'd'].entries())
      ledger.recordCrash(buildTask(at), buildCrash({ agent, isIsolated: true }), FLEET, at * 300);
    expect([0, 1, 2, 3].filter((index) => ledger.isSuspect(buildTask(index)))).to.deep.equal([]);
  });

  it('blames nobody for crashes all over that come together', () => {
    for (const [at, agent] of ['a', 'b', 'c', 'd', 'e', 'f'].entries())
      ledger.recordCrash(buildTask(at), buildCrash({ agent, failureDomain: agent }), FLEET, at * 200);
    expect([0, 1, 2, 3, 4, 5].filter((index) => ledger.isSuspect(buildTask(index)))).to.deep.equal([]);
  });

  it('blames nobody where many upstreams are down, though few crashes were told here', () => {
    ledger.recordCrash(TASK, buildCrash({ isIsolated: true }), { ...FLEET, down: 6 }, 0);
    ledger.recordCrash(buildTask(1), buildCrash({ agent: 'b' }), { ...FLEET, downInDomain: 3 }, 5_000);
    expect([ledger.isSuspect(TASK), ledger.isSuspect(buildTask(1))]).to.deep.equal([false, false]);
  });

  it('never tells figures below 0, also when another dispatcher has withdrawn the same crash', () => {
    ledger.recordCrash(TASK, buildCrash({ isIsolated: true }), FLEET, 0);
    const told = { ...TASK, revision: 9, crashes: 1, blames: 0, proofs: 0 };
    ledger.adopt([told], 100);
    ledger.recordCrash(buildTask(1), buildCrash({ agent: 'b' }), { ...FLEET, down: 6 }, 200);
    for (const { blames, proofs } of ledger.list()) expect([blames, proofs]).to.deep.equal([0, 0]);
  });

  it('forgets others before a task under which many upstreams have crashed', () => {
    for (let at = 0; at < LIMIT; at += 1) ledger.recordCrash(TASK, buildCrash(), FLEET, at * APART_MS);
    for (let index = 0; index < 1_200; index += 1) {
      const name = { job: `other${index}`, step: 0, index: 0 };
      ledger.recordCrash(name, buildCrash({ agent: 'z' }), FLEET, 10_000 + index);
    }
    expect(ledger.countCrashes(TASK)).to.equal(LIMIT);
  });

  it('condemns a task in the end, however its upstreams crash', () => {
    for (let count = 0; count < LIMIT + 2; count += 1) {
      expect(ledger.isCondemned(TASK)).to.equal(false);
      for (const agent of ['b', 'c', 'd'])
        ledger.recordCrash(buildTask(9), buildCrash({ agent }), FLEET, count * APART_MS);
      ledger.recordCrash(TASK, buildCrash({ agent: 'a' }), FLEET, count * APART_MS);
    }
    expect(ledger.isCondemned(TASK)).to.equal(true);
  });

  it('takes a crash after a long run for no proof', () => {
    const crash = buildCrash({ isIsolated: true, ranMs: 4_000 });
    for (let at = 0; at < LIMIT; at += 1) ledger.recordCrash(TASK, crash, FLEET, at * APART_MS);
    expect(ledger.isCondemned(TASK)).to.equal(false);
  });

  it('tells other dispatchers what it has counted, once, and they tell it on', () => {
    const crash = buildCrash({ isIsolated: true });
    for (let at = 0; at < LIMIT; at += 1) ledger.recordCrash(TASK, crash, FLEET, at * APART_MS);
    const news = ledger.takeNews();
    expect(ledger.takeNews()).to.deep.equal([]);
    const other = new CrashLedger(LIMIT);
    expect(other.adopt(news, 0)).to.deep.equal(news);
    expect(other.adopt(news, 0)).to.deep.equal([]);
    expect(other.isCondemned(TASK)).to.equal(true);
    expect(ledger.adopt(news, 0)).to.deep.equal([]);
  });

  it('goes on counting from what another dispatcher has told', () => {
    const crash = buildCrash({ isIsolated: true });
    ledger.recordCrash(TASK, crash, FLEET, 0);
    const other = new CrashLedger(LIMIT);
    other.adopt(ledger.takeNews(), 0);
    other.recordCrash(TASK, crash, FLEET, APART_MS);
    expect(other.isCondemned(TASK)).to.equal(true);
  });

  it('remembers for a time, and so many', () => {
    for (let index = 0; index < 1_200; index += 1) {
      const name = { job: `job${index}`, step: 0, index: 0 };
      ledger.recordCrash(name, buildCrash(), FLEET, index);
    }
    expect(ledger.size).to.equal(1_000);
    ledger.tick(40_000);
    expect(ledger.size).to.equal(0);
  });

  it('counts nothing without a limit', () => {
    const off = new CrashLedger(0);
    off.recordCrash(TASK, buildCrash({ isIsolated: true }), FLEET, 0);
    expect([off.size, off.isSuspect(TASK), off.takeNews().length]).to.deep.equal([0, false, 0]);
  });
});
