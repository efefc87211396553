/** Weighted fair sharing of work between queues. */
import { computeJobWork, computeTaskWork } from './dispatchJob.js';
import type { DispatchJob, DispatchTask } from './dispatchJob.js';
import { QueueShare } from './QueueShare.js';
import { canFinishInTime, TaskOrder } from './TaskOrder.js';
import type { OrderContext } from './TaskOrder.js';

/** Waiting tasks of one queue. */
interface QueueTasks {
  readonly share: QueueShare;
  readonly weight: number;
  readonly inTime: DispatchTask[];
  readonly late: DispatchTask[];
  /** Virtual start time of the next task. */
  tag: number;
  /** Work that may be placed ahead of all shares. */
  headroom: number;
}

/**
 * Start-time fair queueing: the queue that was served least relative to its weight is next. Unused shares are
 * divided among the other queues and are not saved up. The weight of a queue is its usual arrival rate,
 * reduced with each priority step, so a queue that exceeds its usual rate delays only itself. The most urgent
 * queue is served ahead of all shares within its headroom, since its jobs have no time to wait for their
 * turn.
 *
 * Within a queue, tasks are ordered by rank. Late tasks follow all tasks that are in time, those of the jobs
 * with the smallest remaining fraction first; ordering by remaining work would leave large jobs for last.
 */
export class FairOrder extends TaskOrder {
  private readonly shares = new Map<string, QueueShare>();
  private virtualTime = 0;

  override list(tasks: readonly DispatchTask[], context: OrderContext): DispatchTask[] {
    const queues = this.groupByQueue(tasks, context);
    if (queues.length === 0) return [];
    this.virtualTime = Math.max(this.virtualTime, Math.min(...queues.map(({ tag }) => tag)));
    const order: DispatchTask[] = [];
    mergeQueues(queues, ({ inTime }) => inTime, order);
    for (const queue of queues) {
      queue.late.sort(
        (left, right) => computeRemainingFraction(left.job) - computeRemainingFraction(right.job),
      );
      queue.headroom = 0;
    }
    mergeQueues(queues, ({ late }) => late, order);
    return order;
  }

  override recordArrived(job: DispatchJob, now: number): void {
    this.findShare(job).recordArrived(computeJobWork(job), now);
  }

  override recordSent(task: DispatchTask, now: number): void {
    this.findShare(task.job).recordServed(computeTaskWork(task), this.virtualTime, now);
  }

  override recordReturned(task: DispatchTask, now: number): void {
    this.findShare(task.job).recordServed(-computeTaskWork(task), 0, now);
  }

  private groupByQueue(tasks: readonly DispatchTask[], context: OrderContext): QueueTasks[] {
    const queues = new Map<string, QueueTasks>();
    for (const task of tasks) {
      const { name } = task.job.submission.route;
      const queue = queues.get(name) ?? this.createQueue(task.job, context.now);
      queues.set(name, queue);
      (canFinishInTime(task, context) ? queue.inTime : queue.late).push(task);
    }
    const groups = [...queues.values()];
    const mostUrgentPriority = Math.min(...groups.map(({ share }) => share.priority));
    for (const queue of groups) {
      if (queue.share.priority === mostUrgentPriority)
        queue.headroom = queue.share.refillHeadroom(context.now);
    }
    return groups;
  }

  private createQueue(job: DispatchJob, now: number): QueueTasks {
    const share = this.findShare(job);
    const tag = Math.max(this.virtualTime, share.tag);
    return { share, weight: share.computeWeight(now), inTime: [], late: [], tag, headroom: 0 };
  }

  private findShare({ submission }: DispatchJob): QueueShare {
    const { name, priority } = submission.route;
    const known = this.shares.get(name);
    if (known?.priority === priority) return known;
    const share = new QueueShare(priority);
    this.shares.set(name, share);
    return share;
  }
}

/**
 * Appends the tasks of all queues to an order, each time from the queue with the lowest start tag. A linear
 * search suffices, as only few queues have waiting tasks.
 */
function mergeQueues(
  queues: readonly QueueTasks[],
  pick: (queue: QueueTasks) => readonly DispatchTask[],
  order: DispatchTask[],
): void {
  const waiting = queues
    .map((queue) => ({ queue, tasks: pick(queue), next: 0 }))
    .filter(({ tasks }) => tasks.length > 0);
  while (waiting.length > 0) {
    let best = 0;
    for (let index = 1; index < waiting.length; index += 1) {
      if (findStartTag(waiting[index]?.queue) < findStartTag(waiting[best]?.queue)) best = index;
    }
    const selected = waiting[best];
    const task = selected?.tasks[selected.next];
    if (!selected || !task) return;
    order.push(task);
    selected.next += 1;
    selected.queue.tag += computeTaskWork(task) / selected.queue.weight;
    selected.queue.headroom -= computeTaskWork(task);
    if (selected.next === selected.tasks.length) waiting.splice(best, 1);
  }
}

/** Finds the virtual time at which a queue is served next; the lowest is first. */
function findStartTag(queue: QueueTasks | undefined): number {
  if (!queue) return Infinity;
  return queue.headroom > 0 ? -Infinity : queue.tag;
}

function computeRemainingFraction({ remaining, tasks }: DispatchJob): number {
  return remaining / tasks.length;
}
