/** Weighted fair sharing of work between queues. */
import { findWork, measureWork } from './dispatchJob.js';
import type { DispatchJob, DispatchTask } from './dispatchJob.js';
import { QueueShare } from './QueueShare.js';
import { canEndInTime, TaskOrder } from './TaskOrder.js';
import type { OrderContext } from './TaskOrder.js';

/** The tasks of one queue that wait. */
interface Lane {
  readonly share: QueueShare;
  readonly weight: number;
  readonly inTime: DispatchTask[];
  readonly late: DispatchTask[];
  /** Virtual time at which the next task starts, and work that may go ahead of all shares. */
  tag: number;
  headroom: number;
}

/**
 * Start-time fair queueing: the queue goes next that has had least against its weight; work that a queue has not asked
 * for is shared by the others, and none saves up what it did not use. A queue's weight is what its callers usually ask
 * for, less with each step of priority, so that a queue whose callers ask for more pays for that itself. The most
 * urgent queue goes ahead of all shares within its headroom: its jobs have no time to wait for a turn.
 *
 * Within a queue, tasks go by rank. What is late goes behind all that is in time, the jobs that lack the smallest part
 * of their work first: least work first would leave large jobs for last.
 */
export class FairOrder extends TaskOrder {
  private readonly shares = new Map<string, QueueShare>();
  private virtualTime = 0;

  override list(tasks: readonly DispatchTask[], context: OrderContext): DispatchTask[] {
    const lanes = this.sortIntoLanes(tasks, context);
    if (lanes.length === 0) return [];
    this.virtualTime = Math.max(this.virtualTime, Math.min(...lanes.map(({ tag }) => tag)));
    const order: DispatchTask[] = [];
    mergeLanes(lanes, ({ inTime }) => inTime, order);
    for (const lane of lanes) {
      lane.late.sort((left, right) => findPartLeft(left.job) - findPartLeft(right.job));
      lane.headroom = 0;
    }
    mergeLanes(lanes, ({ late }) => late, order);
    return order;
  }

  override noteArrived(job: DispatchJob, now: number): void {
    this.findShare(job).noteArrived(findWork(job), now);
  }

  override noteSent(task: DispatchTask, now: number): void {
    this.findShare(task.job).noteServed(measureWork(task), this.virtualTime, now);
  }

  override noteReturned(task: DispatchTask, now: number): void {
    this.findShare(task.job).noteServed(-measureWork(task), 0, now);
  }

  private sortIntoLanes(tasks: readonly DispatchTask[], context: OrderContext): Lane[] {
    const lanes = new Map<string, Lane>();
    for (const task of tasks) {
      const { name } = task.job.submission.route;
      const lane = lanes.get(name) ?? this.createLane(task.job, context.now);
      lanes.set(name, lane);
      (canEndInTime(task, context) ? lane.inTime : lane.late).push(task);
    }
    const found = [...lanes.values()];
    const mostUrgent = Math.min(...found.map(({ share }) => share.priority));
    for (const lane of found) {
      if (lane.share.priority === mostUrgent) lane.headroom = lane.share.fillHeadroom(context.now);
    }
    return found;
  }

  private createLane(job: DispatchJob, now: number): Lane {
    const share = this.findShare(job);
    const tag = Math.max(this.virtualTime, share.tag);
    return { share, weight: share.findWeight(now), inTime: [], late: [], tag, headroom: 0 };
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

/** Adds the tasks of all lanes to an order, each time of the lane whose turn it is; lanes are as few as busy queues. */
function mergeLanes(
  lanes: readonly Lane[],
  pick: (lane: Lane) => readonly DispatchTask[],
  order: DispatchTask[],
): void {
  const waiting = lanes
    .map((lane) => ({ lane, tasks: pick(lane), next: 0 }))
    .filter(({ tasks }) => tasks.length > 0);
  while (waiting.length > 0) {
    let turn = 0;
    for (let at = 1; at < waiting.length; at += 1) {
      if (findTurn(waiting[at]?.lane) < findTurn(waiting[turn]?.lane)) turn = at;
    }
    const chosen = waiting[turn];
    const task = chosen?.tasks[chosen.next];
    if (!chosen || !task) return;
    order.push(task);
    chosen.next += 1;
    chosen.lane.tag += measureWork(task) / chosen.lane.weight;
    chosen.lane.headroom -= measureWork(task);
    if (chosen.next === chosen.tasks.length) waiting.splice(turn, 1);
  }
}

/** When it is a lane's turn; lower goes first. */
function findTurn(lane: Lane | undefined): number {
  if (!lane) return Infinity;
  return lane.headroom > 0 ? -Infinity : lane.tag;
}

function findPartLeft({ left, tasks }: DispatchJob): number {
  return left / tasks.length;
}
