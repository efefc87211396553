/** Compares the cost of a task's state transitions by table, xstate's pure function and xstate actors. */
import { performance } from 'node:perf_hooks';

import { createActor, initialTransition, transition } from 'xstate';

import { stepMachine } from '../src/_lib/compileMachine.js';
import { TASK_TABLE, taskMachine } from '../src/request/taskMachine.js';
import type { TaskEvent, TaskState } from '../src/request/taskMachine.js';

const TASKS = 20_000;
const EVENTS: readonly TaskEvent[] = ['send', 'refuse', 'send', 'finish'];

/** Prints the microseconds per task of each implementation. */
export function benchMachines(): void {
  const measureMicroseconds = (run: () => void): number => {
    run();
    const begin = performance.now();
    run();
    return Number((((performance.now() - begin) * 1_000) / TASKS).toFixed(3));
  };
  const table = measureMicroseconds(() => {
    for (let task = 0; task < TASKS; task += 1) {
      let state: TaskState = 'queued';
      for (const event of EVENTS) state = stepMachine(TASK_TABLE, state, event);
    }
  });
  const pure = measureMicroseconds(() => {
    for (let task = 0; task < TASKS; task += 1) {
      let [snapshot] = initialTransition(taskMachine);
      for (const type of EVENTS) [snapshot] = transition(taskMachine, snapshot, { type });
    }
  });
  const actor = measureMicroseconds(() => {
    for (let task = 0; task < TASKS; task += 1) {
      const one = createActor(taskMachine).start();
      for (const type of EVENTS) one.send({ type });
      one.stop();
    }
  });
  console.log(JSON.stringify({ microsecondsPerTask: { table, pure, actor } }));
}
