import { setup } from 'xstate';

/**
 * Lifecycle of a daemon: `joining` until it may serve, `ready`, `leaving` while it finishes its work,
 * `stopped`.
 */
export const processMachine = setup({
  types: { events: {} as { type: 'join' } | { type: 'lose' } | { type: 'leave' } | { type: 'drain' } },
}).createMachine({
  id: 'process',
  initial: 'joining',
  states: {
    joining: { on: { join: 'ready', leave: 'leaving' } },
    ready: { on: { lose: 'joining', leave: 'leaving' } },
    leaving: { on: { drain: 'stopped' } },
    stopped: { type: 'final' },
  },
});
