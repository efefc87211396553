/** Log lines and metrics of a dispatcher's decisions. */
import { LogRateLimiter } from '../LogRateLimiter.js';
import type { LogFields, ProcessLogger } from '../logger.js';
import type { MetricsServer } from '../MetricsServer.js';

/** Limit on log lines about placements, per second; other decisions are not limited. */
const PLACE_LINES_PER_S = 400;
/** Limit on log lines about closed links that are not of an executor, per second. */
const LINK_LINES_PER_S = 50;

/** Records the decisions of one dispatcher. */
export class DecisionLog {
  private readonly placeLimiter = new LogRateLimiter(PLACE_LINES_PER_S);
  private readonly linkLimiter = new LogRateLimiter(LINK_LINES_PER_S);

  /**
   * @param now - reads the monotonic clock, ms
   * @param logsPlacements - whether placements are logged
   */
  constructor(
    private readonly logger: ProcessLogger,
    private readonly metrics: MetricsServer,
    private readonly now: () => number,
    private readonly logsPlacements: () => boolean,
  ) {}

  /** Records a decision by the event of its log line. */
  record(event: string, fields: LogFields): void {
    this.metrics.increment('dispatcher_decisions', { decision: event });
    if (event !== 'place') return this.logger.info(event, fields);
    if (!this.logsPlacements()) return;
    this.placeLimiter.writeLine(this.now(), fields, (all) => this.logger.info(event, all));
  }

  /** Records that a link closed which is not of an executor. */
  recordLinkClosed(reason: string): void {
    this.linkLimiter.writeLine(this.now(), { reason }, (all) => this.logger.info('link-closed', all));
  }
}
