/** The agent as a process: links to entries, the upstream beside it, life cycle. */
import { setTimeout as sleep } from 'node:timers/promises';

import { createRandom } from '../../_lib/createRandom.js';
import type { UpstreamReportStore } from '../../ports/UpstreamReportStore.js';
import type { UpstreamRegistry, UpstreamReport } from '../../ports/UpstreamRegistry.js';
import { createDaemonClock } from '../createDaemonClock.js';
import { createIncarnation } from '../createIncarnation.js';
import { deriveDispatchTimes } from '../dispatchTimes.js';
import { createLogSink } from '../createLogSink.js';
import { createLogger } from '../logger.js';
import type { LogFields, ProcessLogger } from '../logger.js';
import { describeError, logFailure } from '../failures.js';
import { PauseGuard } from '../PauseGuard.js';
import { fitResources } from '../../request/dispatch/resources.js';
import type { Resources } from '../../request/dispatch/submission.js';
import type { DispatchSettings } from '../settings/dispatchSettings.js';
import { startTimer } from '../startTimer.js';
import { ServedMetrics } from '../ServedMetrics.js';
import { Executor } from './Executor.js';
import { buildIncarnationName } from './buildIncarnationName.js';
import { DispatcherLinks } from './DispatcherLinks.js';
import { buildExecutorMetrics } from './executorMetrics.js';
import { isKnownService } from './isKnownService.js';

/** Between two looks at what has expired and which pings are due, ms. One timer: each wake-up costs. */
const TICK_MS = 57;
/** Looks between two reviews of which entries to link to. */
const KEEP_TICKS = 2;
/** Between two messages about entries, ms. */
const MEMBERS_MS = 5_000;
/** Time kept from the grace period to stop what is left and tell it, ms. */
const END_MARGIN_MS = 700;

/** Outside parts of an executor. */
export interface ExecutorPorts {
  readonly registry: UpstreamRegistry;
  readonly memory: UpstreamReportStore;
}

/** An agent process. */
export class ExecutorDaemon {
  private readonly clock = createDaemonClock((event, fields) => this.logDecision(event, fields));
  private readonly logger: ProcessLogger;
  private readonly metrics: ServedMetrics;
  private readonly core: Executor;
  private readonly links: DispatcherLinks;
  private readonly pauseGuard: PauseGuard;
  /** Whether an upstream has reported itself to this life of the process. */
  private hasReport = false;
  /** The life of the upstream that is kept for the next life of this process, and its capacity. */
  private kept = '';
  private keeping: Promise<void> = Promise.resolve();
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
    this.core = new Executor(
      { agent: settings.id, life: peer, failureDomain: settings.failureDomain, startedAt },
      {
        ...times,
        maxLeaseMs: settings.maxLeaseMs,
        stopMs: settings.stopMs,
        speedMeasure: settings.speedMeasure,
      },
      this.clock,
      {
        openApi: (report) => this.ports.registry.openApi(report),
        sendResult: (life, result) => {
          this.metrics.increment('executor_task_ends', { end: result.end });
          if (result.reason === 'full') this.metrics.increment('executor_returned_starts');
          this.links.sendResult(life, result);
        },
        sendCrashes: (life, notice) => this.links.sendCrashes(life, notice),
        handleJoined: (report) => this.rememberUpstream(report),
        handleChange: () => this.links.scheduleCapacityReports(),
        handleCapacityChange: (report, before) => this.noteCapacity(report, before),
        handleShareChange: () => this.metrics.increment('executor_parts_told'),
        log: (event, fields) => this.logDecision(event, fields),
      },
      settings.roomSharing,
    );
    this.metrics = new ServedMetrics(
      settings.metricsAddress,
      buildExecutorMetrics({
        readLoad: () => this.core.load,
        readKeptVersion: () => this.links.keptVersion,
        readWaitingEntries: () => this.core.demand.entries,
        readDemand: () => this.core.demand.cpuMilli,
      }),
    );
    this.pauseGuard = new PauseGuard(this.clock.now(), (gapMs) => {
      this.logger.warn('paused', { gapMs: Math.round(gapMs) });
      this.links.handlePause();
    });
    const { id: agent, failureDomain, maxLinks, smallFleet, linkPort, linkMbps } = settings;
    const { pingMs } = times;
    const options = { agent, failureDomain, maxLinks, smallFleet, linkPort, pingMs, linkMbps };
    const nextRandom = createRandom(Date.now() % 1_000_000);
    const log = (event: string, fields: LogFields): void => this.logDecision(event, fields);
    this.links = new DispatcherLinks(options, this.core, this.clock, log, nextRandom);
  }

  /** Starts to listen for the upstream and to dial the entries. */
  async start(): Promise<void> {
    this.logger.info('started', { failureDomain: this.settings.failureDomain });
    await this.ports.registry.start({
      report: (report) => this.takeReport(report),
      leave: (upstreamId, bornAt) => this.core.handleLeave(upstreamId, bornAt),
      recordRejected: (call, reason) => this.logger.warn('report-rejected', { call, reason }),
      recordFailure: (call, error) => logFailure(this.logger, 'call-failed', { call }, error),
    });
    this.links.recordSeeds(this.settings.seeds);
    void this.recallUpstream();
    this.metrics.start();
    startTimer(this.logger, 'tick', TICK_MS, () => this.tick());
    startTimer(this.logger, 'members', MEMBERS_MS, () => this.links.sendMembers());
  }

  /** Takes changed settings: other seeds are dialed; all else needs a restart. */
  reload(settings: DispatchSettings): void {
    this.logger.info('reloaded', { seeds: settings.seeds });
    this.settings = settings;
    this.links.recordSeeds(settings.seeds);
  }

  /** Stops as planned: takes nothing new, lets what runs end, stops the rest, and returns. */
  async stop(): Promise<void> {
    if (this.leaving) return;
    this.leaving = true;
    this.logger.info('leaving', { tasks: this.core.load });
    this.core.leave();
    const endAt = this.clock.now() + this.settings.graceSeconds * 1_000 - END_MARGIN_MS;
    while (this.core.load > 0 && this.clock.now() < endAt) await sleep(TICK_MS / 2);
    this.core.stopAll('agent-ends');
    const stoppedBy = this.clock.now() + END_MARGIN_MS / 2;
    while (this.core.load > 0 && this.clock.now() < stoppedBy) await sleep(TICK_MS / 4);
    await sleep(TICK_MS / 2);
    this.logger.info('stopped', { tasks: this.core.load });
    this.metrics.stop();
    this.ports.memory.stop();
    this.links.stop();
    await this.ports.registry.stop();
    this.logger.flush();
  }

  private logDecision(event: string, fields: LogFields): void {
    this.metrics.increment('executor_decisions', { decision: event });
    this.logger.info(event, fields);
  }

  private takeReport(report: UpstreamReport): void {
    if (!this.isOfKnownService(report)) return;
    this.hasReport = true;
    this.core.handleReport(report);
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

  /** The entries hear of it at once, and the next life of this process must not start by the earlier capacity. */
  private noteCapacity(report: UpstreamReport, before: Resources): void {
    const direction = fitResources(before, report.capacity) ? 'grown' : 'shrunk';
    this.metrics.increment('executor_capacity_changes', { direction });
    this.links.sendCapacity();
    if (this.kept.startsWith(describeLife(report))) this.rememberUpstream(report);
  }

  /** Only a life that has answered is kept for the next life of this process: a report may have been held up. */
  private rememberUpstream(report: UpstreamReport): void {
    const name = buildIncarnationName(report);
    const kept = describeKept(report);
    if (kept === this.kept || report.isDraining) return;
    this.kept = kept;
    const keep = (): Promise<void> =>
      this.ports.memory.save(this.settings.id, report).catch((error: unknown) => {
        this.logger.warn('upstream-not-remembered', { upstream: name, error: describeError(error) });
      });
    // One after another: an earlier report that is written again must not take the place of a later one.
    this.keeping = this.keeping.then(keep);
  }

  /** Finds the upstream of an earlier life, whose next report may be more than a second away. */
  private async recallUpstream(): Promise<void> {
    const report = await this.ports.memory.load(this.settings.id).catch((error: unknown) => {
      this.logger.warn('upstream-not-recalled', { error: describeError(error) });
      return undefined;
    });
    if (!report || this.hasReport || this.leaving || !this.isOfKnownService(report)) return;
    this.kept = describeKept(report);
    this.logger.info('upstream-recalled', { upstream: buildIncarnationName(report) });
    this.core.handleReport({ ...report, clockMs: 0, sequence: -1 });
  }

  private tick(): void {
    this.pauseGuard.update(this.clock.now());
    this.core.tick();
    this.links.ping();
    this.ticks += 1;
    if (this.ticks % KEEP_TICKS === 0) this.links.keep();
  }
}

/** Tells apart what is kept of an upstream. */
function describeKept(report: UpstreamReport): string {
  return describeLife(report) + JSON.stringify(report.capacity);
}

function describeLife(report: UpstreamReport): string {
  return `${buildIncarnationName(report)} `;
}
