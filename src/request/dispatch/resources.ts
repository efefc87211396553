/** Arithmetic of what tasks take. */
import type { Resources } from './submission.js';

/** Nothing at all. */
export const NO_RESOURCES: Resources = { cpuMilli: 0, memoryMb: 0, gpus: 0 };

/**
 * Adds two amounts.
 *
 * @param left - an amount
 * @param right - another
 * @returns the sum of each part
 * @example
 * addResources(NO_RESOURCES, need); // need
 */
export function addResources(left: Resources, right: Resources): Resources {
  return {
    cpuMilli: left.cpuMilli + right.cpuMilli,
    memoryMb: left.memoryMb + right.memoryMb,
    gpus: left.gpus + right.gpus,
  };
}

/**
 * Subtracts an amount.
 *
 * @param left - what there is
 * @param right - what is taken
 * @returns the difference of each part; parts may be negative
 */
export function subtractResources(left: Resources, right: Resources): Resources {
  return {
    cpuMilli: left.cpuMilli - right.cpuMilli,
    memoryMb: left.memoryMb - right.memoryMb,
    gpus: left.gpus - right.gpus,
  };
}

/**
 * Tells whether an amount fits into another.
 *
 * @param need - what is wanted
 * @param free - what there is
 * @returns true if no part is short
 * @example
 * fitResources(NO_RESOURCES, free); // true
 */
export function fitResources(need: Resources, free: Resources): boolean {
  return need.cpuMilli <= free.cpuMilli && need.memoryMb <= free.memoryMb && need.gpus <= free.gpus;
}

/**
 * Tells whether two amounts are the same.
 *
 * @param left - an amount
 * @param right - another
 * @returns true if each part is the same
 * @example
 * equalResources(NO_RESOURCES, NO_RESOURCES); // true
 */
export function equalResources(left: Resources, right: Resources): boolean {
  return left.cpuMilli === right.cpuMilli && left.memoryMb === right.memoryMb && left.gpus === right.gpus;
}
