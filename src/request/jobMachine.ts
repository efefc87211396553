import { createMachine } from 'xstate';

import { compileMachine } from '../_lib/compileMachine.js';

/** State of a job in an entry. */
export type JobState =
  'claiming' | 'attached' | 'sweeping' | 'held' | 'running' | 'complete' | 'failed' | 'refused';

/** Events of a job in an entry. */
export type JobEvent =
  'attach' | 'sweep' | 'hold' | 'run' | 'reclaim' | 'complete' | 'fail' | 'refuse' | 'resubmit';

/** Lifecycle of a job in an entry, from its claim to its outcome. */
export const jobMachine = createMachine({
  id: 'job',
  initial: 'claiming',
  states: {
    claiming: {
      on: {
        attach: 'attached',
        sweep: 'sweeping',
        hold: 'held',
        run: 'running',
        fail: 'failed',
        refuse: 'refused',
      },
    },
    attached: { on: { reclaim: 'claiming', complete: 'complete', fail: 'failed' } },
    sweeping: {
      on: { hold: 'held', run: 'running', reclaim: 'claiming', complete: 'complete', fail: 'failed' },
    },
    held: { on: { run: 'running', refuse: 'refused', fail: 'failed', reclaim: 'claiming' } },
    running: { on: { complete: 'complete', fail: 'failed', refuse: 'refused', reclaim: 'claiming' } },
    complete: {},
    failed: { on: { resubmit: 'claiming' } },
    refused: { on: { resubmit: 'claiming' } },
  },
});

/** Transitions of `jobMachine`. */
export const JOB_TABLE = compileMachine<JobState, JobEvent>(jobMachine);

const ENDED: ReadonlySet<JobState> = new Set(['complete', 'failed', 'refused']);

/**
 * Checks whether a job has ended.
 *
 * @param state - the job's state
 * @returns true if it is complete, failed or refused
 * @example
 * isEnded('running'); // false
 */
export function isEnded(state: JobState): boolean {
  return ENDED.has(state);
}
