/**
 * Passes cancelled jobs on to the other dispatchers, since a caller may cancel its job at any of them. A job that is new
 * to a dispatcher is passed on over all its links but the one that it came from; a new link gets all that are
 * remembered, the newest first, as a dispatcher may have been restarted or cut off.
 */
import type { Timeline } from '../../_lib/Timeline.js';
import type { CancelledJob } from '../../connection/peer/peerMessages.js';
import type { PeerChannel } from '../VersionExchange.js';
import type { CancelledJobs } from './CancelledJobs.js';

/** Interval between two messages on a link, ms, and most jobs in one: together a limit of 1,000 jobs/s. */
const SEND_INTERVAL_MS = 20;
const MAX_JOBS_PER_MESSAGE = 20;
/** Most jobs that wait for a link; beyond that the older half is dropped. */
const MAX_PENDING_JOBS = 50_000;

/** Exchange of one dispatcher. */
export class CancellationExchange {
  /** Ids of the jobs to be sent on each link, the next one last. */
  private readonly pending = new Map<PeerChannel, string[]>();
  private sentAt = -Infinity;
  private isScheduled = false;

  constructor(
    private readonly cancelled: CancelledJobs,
    private readonly timeline: Timeline,
    private readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void,
  ) {}

  /** Handles an opened link to another dispatcher. */
  open(channel: PeerChannel): void {
    this.pending.set(channel, this.cancelled.list());
    this.schedule();
  }

  /** Handles a closed link. */
  close(channel: PeerChannel): void {
    this.pending.delete(channel);
  }

  /** Passes a job on that is new here, but not to where it came from. */
  send(job: string, from?: PeerChannel): void {
    for (const [channel, jobs] of this.pending) if (channel !== from) this.add(job, jobs);
    this.schedule();
  }

  private add(job: string, pending: string[]): void {
    pending.push(job);
    if (pending.length <= MAX_PENDING_JOBS) return;
    const { length: jobs } = pending.splice(0, MAX_PENDING_JOBS / 2);
    this.log('cancelled-not-passed-on', { jobs });
  }

  private schedule(): void {
    if (this.isScheduled || ![...this.pending.values()].some((jobs) => jobs.length > 0)) return;
    const waitMs = this.sentAt + SEND_INTERVAL_MS - this.timeline.now();
    if (waitMs <= 0) return this.flush();
    this.isScheduled = true;
    this.timeline.schedule(waitMs, () => this.flush());
  }

  private flush(): void {
    this.isScheduled = false;
    this.sentAt = this.timeline.now();
    for (const [channel, pending] of this.pending) {
      const jobs = this.takeNext(pending);
      if (jobs.length > 0) channel.send({ type: 'cancelled', jobs });
    }
    this.schedule();
  }

  private takeNext(pending: string[]): CancelledJob[] {
    const ids = pending.splice(-MAX_JOBS_PER_MESSAGE).reverse();
    return ids.flatMap((job) => {
      const at = this.cancelled.findTime(job);
      return at === undefined ? [] : [{ job, ageMs: Math.max(0, Math.round(this.sentAt - at)) }];
    });
  }
}
