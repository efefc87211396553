import { createMachine } from 'xstate';

import { compileMachine } from '../_lib/compileMachine.js';

/** State of a task in the entry that owns its job. */
export type TaskState = 'queued' | 'sent' | 'finished' | 'unknown';

/** Events of a task in an entry. */
export type TaskEvent = 'send' | 'refuse' | 'finish' | 'lose' | 'find';

/**
 * Lifecycle of a task in the entry. Only a refusal by the agent that it was sent to returns it to `queued`;
 * `find` reports that a sweep found the task at an agent.
 */
export const taskMachine = createMachine({
  id: 'task',
  initial: 'queued',
  states: {
    queued: { on: { send: 'sent', find: 'sent' } },
    sent: { on: { refuse: 'queued', finish: 'finished', lose: 'unknown' } },
    finished: {},
    unknown: {},
  },
});

/** Transitions of `taskMachine`. */
export const TASK_TABLE = compileMachine<TaskState, TaskEvent>(taskMachine);
