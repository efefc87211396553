import { createMachine } from 'xstate';

import { compileMachine } from '../_lib/compileMachine.js';
import type { AgentTaskState } from '../connection/messages.js';

/** What can happen to a task in an agent. */
export type AgentTaskEvent = 'run' | 'finish' | 'refuse' | 'lose' | 'accept';

/**
 * Life of a task in an agent. `refused` is a tombstone: only a later attempt leaves it. `finished` and
 * `unknown` are never left, so no task runs twice here.
 */
export const agentTaskMachine = createMachine({
  id: 'agentTask',
  initial: 'waiting',
  states: {
    waiting: { on: { run: 'running', refuse: 'refused' } },
    running: { on: { finish: 'finished', lose: 'unknown', refuse: 'refused' } },
    refused: { on: { accept: 'waiting' } },
    finished: {},
    unknown: {},
  },
});

/** The transitions of `agentTaskMachine`. */
export const AGENT_TASK_TABLE = compileMachine<AgentTaskState, AgentTaskEvent>(agentTaskMachine);
