/** Arithmetic on resources. */
import type { Resources } from './submission.js';

/** No resources. */
export const NO_RESOURCES: Resources = { cpuMilli: 0, memoryMb: 0, gpus: 0 };

/**
 * Adds two amounts.
 *
 * @param left - an amount
 * @param right - another
 * @returns the sum of each resource
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
 * Subtracts an amount from another.
 *
 * @param left - the amount to subtract from
 * @param right - the amount to subtract
 * @returns the difference of each resource, which may be negative
 */
export function subtractResources(left: Resources, right: Resources): Resources {
  return {
    cpuMilli: left.cpuMilli - right.cpuMilli,
    memoryMb: left.memoryMb - right.memoryMb,
    gpus: left.gpus - right.gpus,
  };
}

/**
 * Checks whether an amount fits into the free resources.
 *
 * @param need - required amount
 * @param free - free amount
 * @returns true if every resource suffices
 * @example
 * fitResources(NO_RESOURCES, free); // true
 */
export function fitResources(need: Resources, free: Resources): boolean {
  return need.cpuMilli <= free.cpuMilli && need.memoryMb <= free.memoryMb && need.gpus <= free.gpus;
}

/**
 * Checks whether two amounts are equal.
 *
 * @param left - an amount
 * @param right - another
 * @returns true if every resource is equal
 * @example
 * equalResources(NO_RESOURCES, NO_RESOURCES); // true
 */
export function equalResources(left: Resources, right: Resources): boolean {
  return left.cpuMilli === right.cpuMilli && left.memoryMb === right.memoryMb && left.gpus === right.gpus;
}

/**
 * Finds the higher of two amounts of each resource.
 *
 * @param left - an amount
 * @param right - another
 * @returns the higher amount of each resource
 * @example
 * raiseResources(capacity, NO_RESOURCES); // capacity
 */
export function raiseResources(left: Resources, right: Resources): Resources {
  return {
    cpuMilli: Math.max(left.cpuMilli, right.cpuMilli),
    memoryMb: Math.max(left.memoryMb, right.memoryMb),
    gpus: Math.max(left.gpus, right.gpus),
  };
}

/**
 * Finds the lower of two amounts of each resource.
 *
 * @param left - an amount
 * @param right - another
 * @returns the lower amount of each resource
 * @example
 * limitResources(capacity, NO_RESOURCES); // NO_RESOURCES
 */
export function limitResources(left: Resources, right: Resources): Resources {
  return {
    cpuMilli: Math.min(left.cpuMilli, right.cpuMilli),
    memoryMb: Math.min(left.memoryMb, right.memoryMb),
    gpus: Math.min(left.gpus, right.gpus),
  };
}
