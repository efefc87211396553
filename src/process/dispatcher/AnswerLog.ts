/** Log lines and metrics of what callers are answered. */
import type { JobOutcome } from '../../request/dispatch/submission.js';
import { logFailure } from '../failures.js';
import type { ProcessLogger } from '../logger.js';
import type { MetricsServer } from '../MetricsServer.js';
import { describeAnswer } from './attemptLog.js';
import { computeJobWork } from './dispatchJob.js';
import type { DispatchJob } from './dispatchJob.js';
import { describePriority } from './dispatcherMetrics.js';

/** Records the answers of one dispatcher. */
export class AnswerLog {
  /** @param findVersion - reads the version of the configuration in force */
  constructor(
    private readonly logger: ProcessLogger,
    private readonly metrics: MetricsServer,
    private readonly findVersion: () => number,
  ) {}

  /** Records a job that was rejected before it was submitted. */
  recordRejected(jobId: string, status: number, reason: string): void {
    this.metrics.increment('dispatcher_answers', { outcome: 'rejected', reason });
    this.logger.info('reject', { job: jobId, status, reason, version: this.findVersion() });
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
