/** Executor process: links to dispatchers, the upstream on the same VM, start and shutdown. */
import { setTimeout as sleep } from 'node:timers/promises';

import { createRandom } from '../../_lib/createRandom.js';
import type { InputGuard } from '../../connection/input/InputGuard.js';
import type { UpstreamReportStore } from '../../ports/UpstreamReportStore.js';
import type { UpstreamRegistry, UpstreamReport } from '../../ports/UpstreamRegistry.js';
import { createDaemonClock } from '../createDaemonClock.js';
import { createFaultReporter } from '../createFaultReporter.js';
import { createIncarnation } from '../createIncarnation.js';
import { deriveDispatchTimes } from '../dispatchTimes.js';
import { createLogSink } from '../createLogSink.js';
import { LogRateLimiter } from '../LogRateLimiter.js';
import { createLogger } from '../logger.js';
import type { LogFields, ProcessLogger } from '../logger.js';
import { logFailure } from '../failures.js';
import { PauseGuard } from '../PauseGuard.js';
import { fitResources } from '../../request/dispatch/resources.js';
import type { Resources } from '../../request/dispatch/submission.js';
import type { DispatchSettings } from '../settings/dispatchSettings.js';
import { reportClosedInput } from '../reportClosedInput.js';
import { startTimer } from '../startTimer.js';
import { MetricsServer } from '../MetricsServer.js';
import { Executor } from './Executor.js';
import { buildIncarnationName } from './buildIncarnationName.js';
import { DispatcherLinks } from './DispatcherLinks.js';
import { buildExecutorMetrics } from './executorMetrics.js';
import { isKnownService } from './isKnownService.js';
import { StoredUpstream } from './StoredUpstream.js';

/**
 * Interval of the timer that applies timeouts and sends due pings, ms; a single timer keeps wake-ups rare.
 */
const TICK_MS = 57;
/** Ticks between two updates of the links. */
const LINK_UPDATE_TICKS = 2;
/** Interval of messages that list the known dispatchers, ms. */
const MEMBERS_INTERVAL_MS = 5_000;
const SECOND_MS = 1_000;
/** Limit on log lines about rejected reports, per second. */
const REJECT_LINES_PER_S = 20;
/**
 * Last part of the grace period, reserved for stopping the remaining tasks and sending their results, ms.
 */
const STOP_MARGIN_MS = 700;

/** External dependencies of an executor. */
export interface ExecutorPorts {
  readonly registry: UpstreamRegistry;
  readonly reportStore: UpstreamReportStore;
  /** Bounds what clients make the process keep, at all its listeners. */
  readonly guard: InputGuard;
}

/** An executor process. */
export class ExecutorDaemon {
  private readonly clock = createDaemonClock((event, fields) => this.logDecision(event, fields));
  private readonly logger: ProcessLogger;
  private readonly metrics: MetricsServer;
  private readonly executor: Executor;
  private readonly links: DispatcherLinks;
  private readonly pauseGuard: PauseGuard;
  private readonly rejectLogLimiter = new LogRateLimiter(REJECT_LINES_PER_S);
  /** Whether an upstream has sent a report since this process started. */
  private hasReport = false;
  /** The upstream as stored for the next start of this process. */
  private readonly stored: StoredUpstream;
  private leaving = false;
  private ticks = 0;

  constructor(
    private settings: DispatchSettings,
    private readonly ports: ExecutorPorts,
  ) {
    const startedAt = Date.now();
    const peer = createIncarnation(settings.id, startedAt);
    const times = deriveDispatchTimes(settings);
    this.logger = createLogger(peer, settings.logLevel, createLogSink());
    this.executor = new Executor(
      { id: settings.id, incarnation: peer, failureDomain: settings.failureDomain, startedAt },
      {
        ...times,
        maxLeaseMs: settings.maxLeaseMs,
        stopMs: settings.stopMs,
        speedMeasure: settings.speedMeasure,
      },
      this.clock,
      {
        openApi: (report) => this.ports.registry.openApi(report),
        sendResult: (dispatcher, result) => {
          this.metrics.increment('executor_task_ends', { end: result.end });
          if (result.reason === 'full') this.metrics.increment('executor_returned_starts');
          this.links.sendResult(dispatcher, result);
        },
        sendCrashes: (dispatcher, notice) => this.links.sendCrashes(dispatcher, notice),
        handleJoined: (report) => this.stored.save(report),
        handleChange: () => this.links.scheduleCapacityReports(),
        handleCapacityChange: (report, before) => this.handleCapacityChange(report, before),
        handleShareChange: () => this.metrics.increment('executor_parts_told'),
        log: (event, fields) => this.logDecision(event, fields),
      },
      settings.roomSharing,
    );
    this.metrics = new MetricsServer(
      settings.metricsAddress,
      buildExecutorMetrics(
        {
          readLoad: () => this.executor.load,
          readKeptVersion: () => this.links.keptVersion,
          readWaitingDispatchers: () => this.executor.demand.dispatchers,
          readDemand: () => this.executor.demand.cpuMilli,
        },
        ports.guard.budget,
      ),
      ports.guard,
    );
    reportClosedInput(ports.guard, this.logger, (labels) =>
      this.metrics.increment('executor_input_closed', labels),
    );
    this.pauseGuard = new PauseGuard(this.clock.now(), (gapMs) => {
      this.logger.warn('paused', { gapMs: Math.round(gapMs) });
      this.links.handlePause();
    });
    const { id: executor, failureDomain, maxLinks, smallFleet, linkPort, linkMbps } = settings;
    const { pingMs } = times;
    const cancelledMs = settings.cancelledSeconds * SECOND_MS;
    const options = {
      executor,
      failureDomain,
      maxLinks,
      smallFleet,
      linkPort,
      pingMs,
      linkMbps,
      cancelledMs,
    };
    const nextRandom = createRandom(Date.now() % 1_000_000);
    this.stored = new StoredUpstream(ports.reportStore, settings.id, this.clock, {
      isOpen: (name) => this.executor.hasOpenSession(name),
      nextRandom,
      warn: (event, fields) => this.logger.warn(event, fields),
    });
    const log = (event: string, fields: LogFields): void => this.logDecision(event, fields);
    const recordFault = createFaultReporter(
      this.logger,
      () => this.clock.now(),
      (labels) => this.metrics.increment('executor_message_faults', labels),
    );
    this.links = new DispatcherLinks(options, this.executor, this.clock, { log, recordFault }, nextRandom);
  }

  /** Starts to listen for reports of the upstream and to connect to dispatchers. */
  async start(): Promise<void> {
    this.logger.info('started', { failureDomain: this.settings.failureDomain });
    await this.ports.registry.start({
      report: (report) => this.handleReport(report),
      leave: (upstreamId, bornAt) => this.executor.handleLeave(upstreamId, bornAt),
      recordRejected: (call, reason) =>
        this.rejectLogLimiter.writeLine(this.clock.now(), { call, reason }, (fields) =>
          this.logger.warn('report-rejected', fields),
        ),
      recordFailure: (call, error) => logFailure(this.logger, 'call-failed', { call }, error),
    });
    this.links.recordSeeds(this.settings.seeds);
    void this.loadUpstream();
    this.metrics.start();
    startTimer(this.logger, 'tick', TICK_MS, () => this.tick());
    startTimer(this.logger, 'members', MEMBERS_INTERVAL_MS, () => this.links.sendMembers());
  }

  /** Applies changed settings: only the seeds; all others need a restart. */
  reload(settings: DispatchSettings): void {
    this.logger.info('reloaded', { seeds: settings.seeds });
    this.settings = settings;
    this.links.recordSeeds(settings.seeds);
  }

  /**
   * Shuts down gracefully: rejects new tasks, waits for running ones up to the grace period, and stops the
   * rest.
   */
  async stop(): Promise<void> {
    if (this.leaving) return;
    this.leaving = true;
    this.logger.info('leaving', { tasks: this.executor.load });
    this.executor.leave();
    const endAt = this.clock.now() + this.settings.graceSeconds * 1_000 - STOP_MARGIN_MS;
    while (this.executor.load > 0 && this.clock.now() < endAt) await sleep(TICK_MS / 2);
    this.executor.stopAll('agent-ends');
    const stoppedBy = this.clock.now() + STOP_MARGIN_MS / 2;
    while (this.executor.load > 0 && this.clock.now() < stoppedBy) await sleep(TICK_MS / 4);
    await sleep(TICK_MS / 2);
    this.logger.info('stopped', { tasks: this.executor.load });
    this.metrics.stop();
    this.stored.stop();
    this.links.stop();
    await this.ports.registry.stop();
    this.logger.flush();
  }

  private logDecision(event: string, fields: LogFields): void {
    this.metrics.increment('executor_decisions', { decision: event });
    if (event === 'run-start' && !this.settings.decisionLog) return;
    this.logger.info(event, fields);
  }

  private handleReport(report: UpstreamReport): void {
    if (!this.isOfKnownService(report)) return;
    this.hasReport = true;
    this.executor.handleReport(report);
  }

  private isOfKnownService(report: UpstreamReport): boolean {
    if (isKnownService(report.service, this.settings.service, this.links.services)) return true;
    const fields = {
      upstream: buildIncarnationName(report),
      reason: 'of an unknown service',
      service: report.service,
    };
    this.logDecision('report-passed-over', fields);
    return false;
  }

  /**
   * Reports the new capacity to all dispatchers at once, and replaces the stored one, so that the next
   * incarnation of this process does not start with the earlier capacity.
   */
  private handleCapacityChange(report: UpstreamReport, before: Resources): void {
    const direction = fitResources(before, report.capacity) ? 'grown' : 'shrunk';
    this.metrics.increment('executor_capacity_changes', { direction });
    this.links.sendCapacity();
    this.stored.saveChange(report);
  }

  /** Loads the upstream stored by an earlier process, as its next report may be more than a second away. */
  private async loadUpstream(): Promise<void> {
    const report = await this.stored.load(() => !this.hasReport && !this.leaving);
    if (!report || !this.isOfKnownService(report)) return;
    this.logger.info('upstream-recalled', { upstream: buildIncarnationName(report) });
    this.executor.recall(report);
  }

  private tick(): void {
    this.pauseGuard.update(this.clock.now());
    this.executor.tick();
    this.links.sendDuePings();
    this.ticks += 1;
    if (this.ticks % LINK_UPDATE_TICKS === 0) this.links.updateLinks();
  }
}
