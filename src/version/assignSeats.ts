import { hashText } from '../_lib/hash.js';
import type { MemberConfig, SeatTenure } from './configState.js';

/**
 * Assigns each seat to the registrar with the highest rendezvous weight, so that adding or removing a registrar
 * moves only the seats that it gains or loses. A seat whose registrar does not change keeps its tenure.
 *
 * @param seats - the current tenures
 * @param registrars - the new registrars
 * @param offset - offset of the record that changed the registrars
 * @returns the new tenures
 * @example
 * assignSeats(seats, [], 4).every((seat) => seat.peer === ''); // true
 */
export function assignSeats(
  seats: readonly SeatTenure[],
  registrars: readonly MemberConfig[],
  offset: number,
): SeatTenure[] {
  return seats.map((tenure, seat) => {
    const peer = findHeaviest(registrars, seat);
    if (peer === tenure.peer) return tenure;
    return { peer, sinceOffset: offset };
  });
}

function findHeaviest(registrars: readonly MemberConfig[], seat: number): string {
  let best = '';
  let bestWeight = -1;
  for (const registrar of registrars) {
    const weight = hashText(registrar.peer, seat + 1);
    if (weight < bestWeight) continue;
    if (weight === bestWeight && registrar.peer < best) continue;
    best = registrar.peer;
    bestWeight = weight;
  }
  return best;
}
