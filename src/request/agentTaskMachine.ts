import { createMachine } from 'xstate';

import { compileMachine } from '../_lib/compileMachine.js';
import type { AgentTaskState } from '../connection/messages.js';

/** Events of a task in an agent. */
export type AgentTaskEvent = 'run' | 'finish' | 'refuse' | 'lose' | 'accept';

/**
 * Lifecycle of a task in an agent. `refused` is a tombstone until a later attempt is accepted. `finished` and
 * `unknown` are final, so that no task runs twice in an agent.
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

/** Transitions of `agentTaskMachine`. */
export const AGENT_TASK_TABLE = compileMachine<AgentTaskState, AgentTaskEvent>(agentTaskMachine);
