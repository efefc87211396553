/**
 * Incarnations of the upstream beside an executor, each with its own session and state, so that nothing
 * counted for one affects the next.
 *
 * An incarnation is identified by id and start time, as an upstream may restart with the same id. A report
 * opens a session, but may come from a foreign writer or be a delayed one of an earlier incarnation. Only
 * answers to calls show which incarnation is running: a session is closed when another id answers, and
 * superseded when the start time differs.
 *
 * Orders sent before a restart is detected reach the next incarnation. The tasks of a superseded incarnation
 * therefore count as ended only once the next one has accepted a call with a newer fencing token and runs
 * nothing unknown, or once no incarnation is reachable and all leases have expired.
 */
import type { Clock } from '../../_lib/Clock.js';
import type { EarlierCapacity } from '../../connection/peer/peerMessages.js';
import type { UpstreamReport } from '../../ports/UpstreamRegistry.js';
import type { UpstreamApi } from '../../ports/UpstreamApi.js';
import { buildIncarnationName } from './buildIncarnationName.js';
import { EarlierCapacities } from './EarlierCapacities.js';
import type { FencingTokens } from './FencingTokens.js';
import type { ReportOrigin } from './KnownReport.js';
import { UpstreamSession } from './UpstreamSession.js';
import type { SessionBounds, SessionEvents } from './sessionEvents.js';

/** Time without a report after which an unreachable upstream is removed, ms. */
const UPSTREAM_EXPIRY_MS = 5_000;
/** Sequence number of a report that was not sent by the incarnation itself; lower than all that it sends. */
const UNREPORTED_SEQUENCE = -1;

/** Callbacks to the executor; most are passed on to the sessions. */
export interface IncarnationEvents extends Omit<SessionEvents, 'join' | 'settle' | 'findOtherLife'> {
  readonly openApi: (report: UpstreamReport) => UpstreamApi;
  /** Called when an incarnation first becomes ready for work. */
  readonly handleJoined: (report: UpstreamReport) => void;
}

/** Sessions with the incarnations of an upstream. */
export class UpstreamIncarnations {
  /** Sessions by the name of the incarnation. */
  private readonly sessions = new Map<string, UpstreamSession>();
  /** When each incarnation last sent a report. */
  private readonly reportedAt = new Map<string, number>();
  private readonly earlierCapacities = new EarlierCapacities();

  /**
   * @param clock - clock of this process
   * @param tokens - fencing tokens of this process
   * @param bounds - timeouts of the sessions
   * @param events - callbacks to the executor
   */
  constructor(
    private readonly clock: Clock,
    private readonly tokens: FencingTokens,
    private readonly bounds: SessionBounds,
    private readonly events: IncarnationEvents,
  ) {}

  /** Lists all sessions, including superseded ones whose tasks are not finished. */
  list(): UpstreamSession[] {
    return [...this.sessions.values()];
  }

  /** Handles a report of any incarnation. */
  handleReport(report: UpstreamReport): void {
    const known = this.sessions.get(buildIncarnationName(report));
    if (!known || known.isClosed) return this.handleNewIncarnation(report);
    if (known.isSuperseded) return this.skipReport(report, 'of an earlier life');
    if (isSameEndpoint(report, known)) return this.updateDescription(known, report);
    if (known.isDescribed && known.isJoined) return this.skipReport(report, 'of another place');
    known.close('reported-elsewhere');
    this.open(report, 'upstream');
  }

  /**
   * Opens a session with an incarnation that an earlier process has stored. It takes work once dispatchers have
   * confirmed its capacity, which may have changed since, or once it reports to this process.
   */
  recall(report: UpstreamReport): void {
    this.open({ ...report, clockMs: 0, sequence: UNREPORTED_SEQUENCE }, 'store');
    this.confirmCapacities();
  }

  /**
   * Handles the capacity that a dispatcher remembers from an earlier process.
   *
   * @param earlier - capacity and age
   * @param askedAt - monotonic time at or before which the dispatcher measured the age, ms
   */
  handleEarlierCapacity(earlier: EarlierCapacity, askedAt: number): void {
    this.earlierCapacities.record(earlier, askedAt, this.clock.now());
    this.confirmCapacities();
  }

  private confirmCapacities(): void {
    for (const session of this.list()) {
      const confirmed = this.earlierCapacities.find(session.id, this.clock.now());
      if (confirmed && !session.isDescribed) session.confirmCapacity(confirmed);
    }
  }

  /**
   * Handles a shutdown announcement.
   *
   * @param id - id of the upstream
   * @param bornAt - start of its incarnation; undefined for all incarnations with this id
   */
  handleLeave(id: string, bornAt: number | undefined): void {
    for (const session of this.listIncarnations(id)) {
      if (bornAt === undefined || bornAt === session.bornAt) session.leave();
      else this.events.log('leave-passed-over', { upstream: session.name, bornAt });
    }
  }

  /**
   * Starts waiting tasks, and closes the sessions of unreachable incarnations, which finishes their tasks as
   * lost.
   */
  tick(now: number): void {
    for (const session of this.list()) {
      session.startWaitingTasks();
      const reportedAt = this.reportedAt.get(session.name) ?? now;
      if (!session.isReachable && now - reportedAt > UPSTREAM_EXPIRY_MS) session.close('forgotten');
      const isNoneReachable = !this.listIncarnations(session.id).some(({ isReachable }) => isReachable);
      if (session.isSuperseded && isNoneReachable) this.closeSuperseded(session);
    }
    for (const name of this.reportedAt.keys()) if (!this.sessions.has(name)) this.reportedAt.delete(name);
  }

  /** Lists the incarnations of an upstream that may be running. */
  private listIncarnations(id: string): UpstreamSession[] {
    return this.list().filter((session) => session.id === id && !session.isSuperseded && !session.isClosed);
  }

  /** Handles the report of an incarnation without an open session; skipped if older than the running one. */
  private handleNewIncarnation(report: UpstreamReport): void {
    const current = this.listIncarnations(report.id).find(({ isJoined }) => isJoined);
    if (current && isEarlier(report, current)) return this.skipReport(report, 'of an earlier life');
    this.open(report, 'upstream');
  }

  private open(report: UpstreamReport, origin: ReportOrigin): UpstreamSession {
    const name = buildIncarnationName(report);
    const { clock, tokens, bounds } = this;
    const api = this.events.openApi(report);
    const events = this.buildSessionEvents(() => session);
    const session = new UpstreamSession(report, origin, api, clock, tokens, bounds, events);
    // A superseded session of the same incarnation is closed, which finishes its tasks.
    this.sessions.get(name)?.close('superseded');
    this.sessions.set(name, session);
    this.reportedAt.set(name, clock.now());
    const { service, capacity, labels, isDraining } = report;
    const fields = { upstream: name, service, capacity, labels, isDraining, origin };
    this.events.log('upstream-found', fields);
    void session.run().finally(() => this.removeClosed(session));
    return session;
  }

  private buildSessionEvents(findSession: () => UpstreamSession): SessionEvents {
    return {
      ...this.events,
      join: () => this.handleJoin(findSession()),
      settle: (sentAt) => this.settle(findSession(), sentAt),
      findOtherLife: (bornAt, clockMs) => this.handleOtherIncarnation(findSession(), bornAt, clockMs),
    };
  }

  /** Updates the description of an incarnation; one that was found by an answer becomes ready for work. */
  private updateDescription(session: UpstreamSession, report: UpstreamReport): void {
    this.reportedAt.set(session.name, this.clock.now());
    const wasDescribed = session.isDescribed;
    session.update(report);
    if (!wasDescribed && session.isJoined) this.events.handleJoined(report);
  }

  /**
   * Handles an answer with another start time. The capacity of that incarnation is unknown until its first
   * report.
   */
  private handleOtherIncarnation(expected: UpstreamSession, bornAt: number, clockMs: number): void {
    const report = {
      ...expected.newestReport,
      bornAt,
      clockMs,
      sequence: UNREPORTED_SEQUENCE,
      isDraining: false,
    };
    const known = this.sessions.get(buildIncarnationName(report));
    const isOpen = known && !known.isClosed && !known.isSuperseded;
    this.supersede(expected, isOpen ? known : this.open(report, 'predecessor'));
  }

  /**
   * Reports that an incarnation is ready. If it has not sent a report yet, `updateDescription` does so later.
   */
  private handleJoin(session: UpstreamSession): void {
    if (session.isDescribed) this.events.handleJoined(session.newestReport);
  }

  private supersede(earlier: UpstreamSession, next: UpstreamSession): void {
    earlier.supersede();
    next.takeOver();
  }

  /**
   * Handles a renewal answer of the running incarnation that lists no unknown run: supersedes all others, and
   * ends those that were superseded before the renewal was sent.
   *
   * @returns whether the sessions with all other incarnations are closed
   */
  private settle(session: UpstreamSession, sentAt: number): boolean {
    const others = this.list().filter((other) => other.id === session.id && other !== session);
    for (const other of others) {
      if (!other.isSuperseded) this.supersede(other, session);
      else if ((other.supersededAt ?? sentAt) < sentAt) this.closeSuperseded(other);
    }
    return others.every(({ isClosed }) => isClosed);
  }

  private closeSuperseded(session: UpstreamSession): void {
    session.close('superseded');
    this.removeClosed(session);
  }

  /** Removes a session if it is closed; a superseded one stays until its tasks have been finished. */
  private removeClosed(session: UpstreamSession): void {
    const { name } = session;
    if (session.isClosed && this.sessions.get(name) === session) this.sessions.delete(name);
  }

  private skipReport(report: UpstreamReport, reason: string): void {
    const { sequence, isDraining, clockMs } = report;
    const upstream = buildIncarnationName(report);
    this.events.log('report-passed-over', { upstream, reason, sequence, isDraining, clockMs });
  }
}

/**
 * Checks whether a report is older than the answering incarnation; one without a start time counts as older.
 */
function isEarlier({ bornAt }: UpstreamReport, current: UpstreamSession): boolean {
  return current.bornAt !== undefined && (bornAt === undefined || bornAt < current.bornAt);
}

/** Checks whether address and service are unchanged, which an incarnation never changes. */
function isSameEndpoint({ address, service }: UpstreamReport, { newestReport }: UpstreamSession): boolean {
  return address === newestReport.address && service === newestReport.service;
}
