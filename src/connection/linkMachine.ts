import { setup } from 'xstate';

/** Pause before a link is dialed again, ms. */
const RETRY_MS = 200;

/**
 * States of a dialed link. The actor's owner dials when it enters `dialing` and sends the events.
 */
export const linkMachine = setup({
  types: { events: {} as { type: 'open' } | { type: 'break' } | { type: 'stop' } },
  delays: { retry: RETRY_MS },
}).createMachine({
  id: 'link',
  initial: 'dialing',
  on: { stop: '.stopped' },
  states: {
    dialing: { on: { open: 'open', break: 'waiting' } },
    open: { on: { break: 'waiting' } },
    waiting: { after: { retry: 'dialing' } },
    stopped: { type: 'final' },
  },
});
