import { hashText } from '../_lib/hash.js';
import { SEAT_COUNT } from './configState.js';

/**
 * Finds the seat of a job key.
 *
 * @param job - the job key
 * @returns a number from 0 to `SEAT_COUNT - 1`
 * @example
 * findSeat('job-1') === findSeat('job-1'); // true
 */
export function findSeat(job: string): number {
  return hashText(job) % SEAT_COUNT;
}
