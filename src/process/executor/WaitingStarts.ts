/** Starts that wait at the agent for room at the upstream, by rank. */
import { isAttempt } from './localTask.js';
import type { LocalTask } from './localTask.js';

/**
 * How long a task may wait at the agent for room, ms: about the time in which the agent hears of an end and starts the
 * next task. What waits longer is better placed elsewhere.
 */
const MAX_WAIT_MS = 8;
/** After so long a start that was added has begun or is overdue, ms. */
export const OVERDUE_MS = MAX_WAIT_MS + 1;

/** Waiting starts of one session. */
export class WaitingStarts {
  private readonly tasks: LocalTask[] = [];

  get size(): number {
    return this.tasks.length;
  }

  /** All of them, first in line first; changes meanwhile do not show. */
  list(): LocalTask[] {
    return [...this.tasks];
  }

  /** Takes a start, behind those of the same rank. */
  add(task: LocalTask): void {
    const at = this.tasks.findIndex((one) => one.order.rank > task.order.rank);
    this.tasks.splice(at < 0 ? this.tasks.length : at, 0, task);
  }

  /** Lets a start go; false if it does not wait. */
  remove(task: LocalTask): boolean {
    const at = this.tasks.indexOf(task);
    if (at >= 0) this.tasks.splice(at, 1);
    return at >= 0;
  }

  /** Finds one attempt of one entry. */
  find(key: string, attempt: number, owner: string): LocalTask | undefined {
    return this.tasks.find((task) => isAttempt(task, key, attempt, owner));
  }
}

/** Tells why a start may wait no longer; undefined while it may. */
export function findReturnReason({ order, receivedAt }: LocalTask, now: number): string | undefined {
  if (now > order.expiresAt) return 'expired';
  return now > receivedAt + MAX_WAIT_MS ? 'full' : undefined;
}
