import { transition } from 'xstate';
import type { AnyStateMachine } from 'xstate';

import { assertInvariant } from './assertInvariant.js';

/** Next state by state and event. */
export type TransitionTable<State extends string, Event extends string> = ReadonlyMap<
  State,
  ReadonlyMap<Event, State>
>;

/**
 * Compiles all transitions of a flat xstate machine into a table. A lookup is much cheaper than an xstate
 * actor per task.
 *
 * @param machine - a machine without nested states, guards or context
 * @returns the next state by state and event
 * @example
 * compileMachine(taskMachine).get('queued')?.get('send'); // 'sent'
 */
export function compileMachine<State extends string, Event extends string>(
  machine: AnyStateMachine,
): TransitionTable<State, Event> {
  const table = new Map<State, Map<Event, State>>();
  const events = machine.events.filter((event: string) => event !== '*');
  for (const state of Object.keys(machine.states)) {
    const row = new Map<Event, State>();
    const before = machine.resolveState({ value: state, context: {} });
    for (const type of events) {
      if (machine.states[state]?.on[type] === undefined) continue;
      const [after] = transition(machine, before, { type });
      row.set(type as Event, after.value as State);
    }
    table.set(state as State, row);
  }
  return table;
}

/**
 * Looks up the state after an event.
 *
 * @param table - from `compileMachine`
 * @param state - the current state
 * @param event - the event
 * @returns the next state
 * @throws InvariantError when the machine has no such transition
 * @example
 * stepMachine(table, 'queued', 'send'); // 'sent'
 */
export function stepMachine<State extends string, Event extends string>(
  table: TransitionTable<State, Event>,
  state: State,
  event: Event,
): State {
  const next = table.get(state)?.get(event);
  assertInvariant(next !== undefined, `no transition from ${state} on ${event}`);
  return next;
}
