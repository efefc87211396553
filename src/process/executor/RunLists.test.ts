import { expect } from 'chai';

import { buildStartOrder } from '../../../test/fakes/upstreamFixtures.js';
import { buildTaskKey } from '../../connection/peer/peerMessages.js';
import type { EndedRun, LeaseAnswer, RunName } from '../../ports/UpstreamApi.js';
import { createLocalTask } from './localTask.js';
import type { LocalTask } from './localTask.js';
import { RunHistory } from './RunHistory.js';
import { RunLists } from './RunLists.js';

const FAR_AHEAD = 1_000_000;

describe('RunLists', () => {
  let tasks: Map<string, LocalTask>;
  let ends: string[];
  let lists: RunLists;

  beforeEach(() => {
    tasks = new Map();
    ends = [];
    lists = new RunLists(tasks, new RunHistory(), 50, {
      confirm: () => undefined,
      recordProgress: () => undefined,
      finish: (task, end, reason) => {
        tasks.delete(task.key);
        ends.push(`${task.order.name.index} ${end} ${reason}`);
      },
      stopUnknown: () => undefined,
      log: () => undefined,
    });
  });

  /** Adds a task whose run 1 is confirmed to have started. */
  function addRunning(index: number): RunName {
    const order = buildStartOrder(index);
    const task = createLocalTask(buildTaskKey(order.name), order, 'dispatcher', 0);
    Object.assign(task, { phase: 'running', run: 1, confirmedAt: 5 });
    tasks.set(task.key, task);
    const { job, step } = order.name;
    return { job, step, index, run: 1 };
  }

  function apply(ended: readonly EndedRun[], running: readonly RunName[] = []): void {
    const rows = running.map((name) => ({ name, percent: 50 }));
    const answer: Extract<LeaseAnswer, { verdict: 'held' }> = {
      verdict: 'held',
      clockMs: 1,
      bornAt: undefined,
      running: rows,
      ended,
    };
    lists.applyAnswer(answer, 10, 20, false);
  }

  it('apply each end once, and acknowledge it', () => {
    const name = addRunning(0);
    apply([{ sequence: 4, name, end: 'done' }]);
    apply([{ sequence: 4, name, end: 'done' }]);
    expect([ends, lists.lastSequence]).to.deep.equal([['0 done done'], 4]);
  });

  // Guards against an upstream that forgets all later ends, as one answer had an end with a far too high number.
  it('do not acknowledge a number far ahead that only one answer lists', () => {
    const name = addRunning(0);
    apply([{ sequence: FAR_AHEAD, name: { ...name, job: 'odd' }, end: 'done' }], [name]);
    expect(lists.lastSequence).to.equal(0);
    apply([{ sequence: 1, name, end: 'done' }]);
    expect([ends, lists.lastSequence]).to.deep.equal([['0 done done'], 1]);
  });

  it('apply the ends of an upstream that has had many before, with the second answer that lists them', () => {
    const names = [addRunning(0), addRunning(1)];
    const ended = names.map((name, at) => ({ sequence: FAR_AHEAD + at, name, end: 'done' as const }));
    apply(ended);
    expect([ends, lists.lastSequence]).to.deep.equal([[], 0]);
    apply(ended);
    expect([ends, lists.lastSequence]).to.deep.equal([['0 done done', '1 done done'], FAR_AHEAD + 1]);
  });

  // Guards against ends that are listed again and again, as the number of one that cannot be read is not acknowledged.
  it('acknowledge the number of an end that cannot be read, and apply those behind it', () => {
    const name = addRunning(0);
    apply([{ sequence: 1, name: undefined, end: 'failed' }], [name]);
    expect([ends, lists.lastSequence]).to.deep.equal([[], 1]);
    apply([{ sequence: 2, name, end: 'done' }]);
    expect([ends, lists.lastSequence]).to.deep.equal([['0 done done'], 2]);
  });
});
