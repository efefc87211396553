/** Starts that wait at the executor for capacity at the upstream, by rank. */
import { isAttempt } from './localTask.js';
import type { LocalTask } from './localTask.js';

/**
 * Time for which a task may wait at the executor, ms: long enough to receive the end of a run and reuse its
 * capacity. Tasks that would wait longer are better placed elsewhere.
 */
const MAX_WAIT_MS = 8;
/** Time after which an added start has been sent or is overdue, ms. */
export const OVERDUE_MS = MAX_WAIT_MS + 1;

/** Waiting starts of one session. */
export class WaitingStarts {
  private readonly tasks: LocalTask[] = [];

  get size(): number {
    return this.tasks.length;
  }

  /** Returns a copy of the waiting starts, in order. */
  list(): LocalTask[] {
    return [...this.tasks];
  }

  /** Adds a start after those of the same rank. */
  add(task: LocalTask): void {
    const at = this.tasks.findIndex((waiting) => waiting.order.rank > task.order.rank);
    this.tasks.splice(at < 0 ? this.tasks.length : at, 0, task);
  }

  /** Removes a start; returns false if it does not wait. */
  remove(task: LocalTask): boolean {
    const at = this.tasks.indexOf(task);
    if (at >= 0) this.tasks.splice(at, 1);
    return at >= 0;
  }

  /** Finds an attempt of a dispatcher. */
  find(key: string, attempt: number, owner: string): LocalTask | undefined {
    return this.tasks.find((task) => isAttempt(task, key, attempt, owner));
  }
}

/** Finds the reason for returning a start; undefined while it may wait. */
export function findReturnReason({ order, receivedAt }: LocalTask, now: number): string | undefined {
  if (now > order.expiresAt) return 'expired';
  return now > receivedAt + MAX_WAIT_MS ? 'full' : undefined;
}
