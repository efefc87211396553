/**
 * Passes cancelled jobs on to all dispatchers, since a caller may cancel its job at any of them. Dispatchers tell each
 * other and a few executors, which tell theirs: they remember for dispatchers that all restart at once, and connect
 * dispatchers that are cut off from each other. A job that is new to a process is passed on over all its links of the
 * exchange but the one that it came from; a new link gets all that are remembered, the newest first.
 */
import type { Timeline } from '../_lib/Timeline.js';
import type { CancelledJob, CancelNotice } from '../connection/peer/peerMessages.js';
import type { PeerChannel } from './VersionExchange.js';
import type { CancelledJobs } from './CancelledJobs.js';

/** Most jobs that are sent on a link in one interval, and its length, ms: together a limit of 1,000 jobs/s. */
const MAX_JOBS_PER_INTERVAL = 20;
const INTERVAL_MS = 20;
/** Most jobs that wait for a link; beyond that the older half is dropped. */
const MAX_PENDING_JOBS = 50_000;

/** Exchange of one process. */
export class CancellationExchange {
  /** Ids of the jobs to be sent on each link, the next one last. */
  private readonly pending = new Map<PeerChannel, string[]>();
  private intervalAt = -Infinity;
  /** Most jobs sent on a link in this interval. */
  private sentJobs = 0;
  private isScheduled = false;

  constructor(
    private readonly cancelled: CancelledJobs,
    private readonly timeline: Timeline,
    private readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void,
  ) {}

  /** Handles an opened link that takes part. */
  open(channel: PeerChannel): void {
    this.pending.set(channel, this.cancelled.list());
    this.schedule();
  }

  /** Handles a closed link. */
  close(channel: PeerChannel): void {
    this.pending.delete(channel);
  }

  /**
   * Records jobs that another process has sent, and passes on those that are new here.
   *
   * @returns the new ones
   */
  receive({ jobs }: CancelNotice, from: PeerChannel): CancelledJob[] {
    const now = this.timeline.now();
    const fresh = jobs.filter(({ job, ageMs }) => this.cancelled.record(job, now, ageMs));
    for (const { job } of fresh) this.send(job, from);
    return fresh;
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

  /** Sends what the limit allows now, and the rest later. */
  private schedule(): void {
    if (this.isScheduled || !this.hasPending) return;
    const now = this.timeline.now();
    if (now - this.intervalAt >= INTERVAL_MS) [this.intervalAt, this.sentJobs] = [now, 0];
    this.sendPending(now);
    if (!this.hasPending) return;
    this.isScheduled = true;
    this.timeline.schedule(this.intervalAt + INTERVAL_MS - now, () => {
      this.isScheduled = false;
      this.schedule();
    });
  }

  private get hasPending(): boolean {
    for (const jobs of this.pending.values()) if (jobs.length > 0) return true;
    return false;
  }

  private sendPending(now: number): void {
    const allowed = MAX_JOBS_PER_INTERVAL - this.sentJobs;
    if (allowed <= 0) return;
    let sentJobs = 0;
    for (const [channel, pending] of this.pending) {
      const jobs = this.takeNext(pending, allowed, now);
      if (jobs.length === 0) continue;
      sentJobs = Math.max(sentJobs, jobs.length);
      channel.send({ type: 'cancelled', jobs });
      // The caller is answered next, and this process may end right after that.
      channel.flush?.();
    }
    this.sentJobs += sentJobs;
  }

  private takeNext(pending: string[], count: number, now: number): CancelledJob[] {
    const ids = pending.splice(-count).reverse();
    return ids.flatMap((job) => {
      const at = this.cancelled.findTime(job);
      return at === undefined ? [] : [{ job, ageMs: Math.max(0, Math.round(now - at)) }];
    });
  }
}
