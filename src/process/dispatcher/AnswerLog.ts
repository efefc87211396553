/** Log lines and metrics of what callers are answered. */
import type { RejectReason } from '../../ports/CallerGateway.js';
import type { JobOutcome } from '../../request/dispatch/submission.js';
import { logFailure } from '../failures.js';
import { LogRateLimiter } from '../LogRateLimiter.js';
import type { ProcessLogger } from '../logger.js';
import type { MetricsServer } from '../MetricsServer.js';
import { describeAnswer } from './attemptLog.js';
import { computeJobWork } from './dispatchJob.js';
import type { DispatchJob } from './dispatchJob.js';
import { describePriority } from './dispatcherMetrics.js';

/** Limit on log lines about rejected jobs, per second. */
const REJECT_LINES_PER_S = 100;

/** A job that was rejected before it was submitted. */
export interface RejectedJob {
  readonly jobId: string;
  readonly status: number;
  readonly reason: RejectReason;
  /** What was wrong; empty if the reason says it. */
  readonly detail: string;
}

/** Records the answers of one dispatcher. */
export class AnswerLog {
  private readonly rejectLimiter = new LogRateLimiter(REJECT_LINES_PER_S);

  /** @param findVersion - reads the version of the configuration in force */
  constructor(
    private readonly logger: ProcessLogger,
    private readonly metrics: MetricsServer,
    private readonly findVersion: () => number,
  ) {}

  /** Records a job that was rejected before it was submitted; what the caller sent does not become a label. */
  recordRejected({ jobId, status, reason, detail }: RejectedJob, now: number): void {
    this.metrics.increment('dispatcher_answers', { outcome: 'rejected', reason });
    const fields = {
      job: jobId,
      status,
      reason: detail === '' ? reason : detail,
      version: this.findVersion(),
    };
    this.rejectLimiter.writeLine(now, fields, (all) => this.logger.info('reject', all));
  }

  /** Records a call that failed unexpectedly. */
  recordFailure(call: string, error: unknown): void {
    this.metrics.increment('dispatcher_answers', { outcome: 'failed', reason: 'error' });
    logFailure(this.logger, 'call-failed', { call }, error);
  }

  /** Records the outcome of a submitted job. */
  recordOutcome(job: DispatchJob, outcome: JobOutcome, now: number): void {
    const reason = outcome.kind === 'completed' ? '' : outcome.reason;
    this.metrics.increment('dispatcher_answers', { outcome: outcome.kind, reason });
    const decision = outcome.kind === 'refused' ? 'refused' : 'admitted';
    const priority = describePriority(job.submission.route.priority);
    this.metrics.increment('dispatcher_work', { priority, decision }, computeJobWork(job) / 1_000_000);
    this.metrics.observe('dispatcher_answer_ms', now - job.arrivedAt);
    this.logger.info('answer', describeAnswer(job, outcome, this.findVersion(), now));
  }
}
