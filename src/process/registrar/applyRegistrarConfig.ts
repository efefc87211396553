import { assertInvariant } from '../../_lib/assertInvariant.js';
import type { ConfigState } from '../../version/configState.js';
import { findSeat } from '../../version/findSeat.js';
import type { RegistrarState } from './registrarState.js';

/**
 * Applies a newer configuration. Claims on seats with a new tenure are removed, because they may be outdated once
 * another registrar has held the seat.
 *
 * @param state - the registrar's state
 * @param config - a configuration at the same offset or a later one
 * @throws InvariantError when the configuration is older than the one in use
 * @example
 * applyRegistrarConfig(state, applyRecord(state.config, entry));
 */
export function applyRegistrarConfig(state: RegistrarState, config: ConfigState): void {
  assertInvariant(config.offset >= state.config.offset, 'the new configuration is older than the one in use');
  const before = state.config;
  state.config = config;
  for (const claim of state.claims.values()) {
    const seat = findSeat(claim.job);
    if (config.seats[seat]?.sinceOffset !== before.seats[seat]?.sinceOffset) state.claims.delete(claim.job);
  }
}
