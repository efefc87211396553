import { createMachine } from 'xstate';

import { compileMachine } from '../_lib/compileMachine.js';

/** State of a task in the entry that owns its job. */
export type TaskState = 'queued' | 'sent' | 'finished' | 'unknown';

/** What can happen to a task in an entry. */
export type TaskEvent = 'send' | 'refuse' | 'finish' | 'lose' | 'find';

/**
 * Life of a task in the entry. Only a refusal by the agent that was asked brings it back to `queued`; `find`
 * is a sweep that found the task started elsewhere.
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

/** The transitions of `taskMachine`. */
export const TASK_TABLE = compileMachine<TaskState, TaskEvent>(taskMachine);
