import { setup } from 'xstate';

/**
 * Life of a daemon: `joining` until it may serve, `ready`, `leaving` while it finishes what it has, `stopped`.
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
