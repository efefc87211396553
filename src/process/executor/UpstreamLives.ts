/**
 * The lives of the upstream beside an agent, each with a session of its own, so that nothing that is counted in one life
 * is held against the next.
 *
 * A life is known by id and start: an upstream may start again under the id that it had. Of two lives under one id the
 * later start is the newer life. A life under an id that is not known may be newer than the one at its address, or an
 * earlier one whose report was held up: which of them is there is told by answers, since each session ends when another
 * life answers.
 *
 * Orders that are sent before a next life is noticed reach that life. So what an earlier life ran counts as over only
 * once the next one has taken a call with a newer token and runs nothing unknown.
 */
import type { Clock } from '../../_lib/Clock.js';
import type { UpstreamReport } from '../../ports/UpstreamRegistry.js';
import type { TaskExecutor } from '../../ports/TaskExecutor.js';
import { buildLifeName } from './buildLifeName.js';
import type { FencingTokens } from './FencingTokens.js';
import { UpstreamSession } from './UpstreamSession.js';
import type { SessionBounds, SessionEvents } from './UpstreamSession.js';

/** After this time out of reach and without a report an upstream is forgotten, ms. */
const FORGET_UPSTREAM_MS = 5_000;
/** Number of a report that a life has not sent itself; each that it sends is higher. */
const UNREPORTED = -1;

/** What the lives tell their agent; the rest is for the sessions. */
export interface LifeEvents extends Omit<SessionEvents, 'join' | 'findOtherLife'> {
  readonly openExecutor: (report: UpstreamReport) => TaskExecutor;
  /** A life takes work for the first time. */
  readonly noteJoined: (report: UpstreamReport) => void;
}

/** Sessions with the lives of an upstream. */
export class UpstreamLives {
  /** By the name of the life. */
  private readonly sessions = new Map<string, UpstreamSession>();
  /** When each life last reported itself. */
  private readonly reportedAt = new Map<string, number>();

  /**
   * @param clock - of this process
   * @param tokens - of this process
   * @param bounds - for the sessions
   * @param events - what to tell
   */
  constructor(
    private readonly clock: Clock,
    private readonly tokens: FencingTokens,
    private readonly bounds: SessionBounds,
    private readonly events: LifeEvents,
  ) {}

  /** All sessions that hold something, or may. */
  list(): UpstreamSession[] {
    return [...this.sessions.values()];
  }

  /** Takes a report of any life. */
  noteReport(report: UpstreamReport): void {
    const current = this.findNewest(report.id);
    if (!current) return this.open(report, true);
    if (!isLaterOrSame(report, current)) return this.passOver(report, 'of an earlier life');
    if (current.name !== buildLifeName(report)) return this.open(report, true);
    if (isSamePlace(report, current)) return this.describe(current, report);
    if (current.isDescribed && current.isJoined) return this.passOver(report, 'of another place');
    current.close('reported-elsewhere');
    this.open(report, true);
  }

  /**
   * An upstream has said that it ends.
   *
   * @param id - of the upstream
   * @param bornAt - which life; undefined where it does not say
   */
  noteLeave(id: string, bornAt: number | undefined): void {
    const current = this.findNewest(id);
    if (!current) return;
    if (bornAt === undefined || bornAt === current.bornAt) return current.leave();
    this.events.log('leave-passed-over', { upstream: current.name, bornAt });
  }

  /** Forgets lives that are over; what they held is told to have ended. */
  tick(now: number): void {
    for (const session of this.list()) {
      session.beginWaiting();
      const reportedAt = this.reportedAt.get(session.name) ?? now;
      if (!session.isReachable && now - reportedAt > FORGET_UPSTREAM_MS) session.close('forgotten');
      if (session.isSuperseded && !this.findNewest(session.id)?.isReachable) this.end(session);
    }
    for (const name of this.reportedAt.keys()) if (!this.sessions.has(name)) this.reportedAt.delete(name);
  }

  /** The newest life of an upstream that is known. */
  private findNewest(id: string): UpstreamSession | undefined {
    return this.list().find((one) => one.id === id && !one.isSuperseded && !one.isClosed);
  }

  /** Opens the session of a life, which supersedes that of the life before it. */
  private open(report: UpstreamReport, isDescribed: boolean): void {
    const name = buildLifeName(report);
    const { clock, tokens, bounds } = this;
    const executor = this.events.openExecutor(report);
    const events = this.buildSessionEvents(() => session);
    const session = new UpstreamSession(report, isDescribed, executor, clock, tokens, bounds, events);
    this.findNewest(report.id)?.supersede();
    this.sessions.set(name, session);
    this.reportedAt.set(name, clock.now());
    const { service, capacity, labels, isDraining } = report;
    const fields = { upstream: name, service, capacity, labels, isDraining, isDescribed };
    this.events.log('upstream-found', fields);
    void session.run().finally(() => this.forget(session));
  }

  private buildSessionEvents(findSession: () => UpstreamSession): SessionEvents {
    return {
      ...this.events,
      join: () => this.noteJoin(findSession()),
      findOtherLife: (bornAt, clockMs) => {
        const known = findSession().newestReport;
        this.open({ ...known, bornAt, clockMs, sequence: UNREPORTED, isDraining: false }, false);
      },
    };
  }

  /** Takes what a life says of itself; one that was found by its answer only may take work from now on. */
  private describe(session: UpstreamSession, report: UpstreamReport): void {
    this.reportedAt.set(session.name, this.clock.now());
    const wasDescribed = session.isDescribed;
    session.update(report);
    if (!wasDescribed && session.isJoined) this.events.noteJoined(report);
  }

  /** A life has taken our token and runs nothing unknown: nothing that was ordered of earlier ones can run any more. */
  private noteJoin(session: UpstreamSession): void {
    if (session.isDescribed) this.events.noteJoined(session.newestReport);
    for (const other of this.list()) if (other.id === session.id && other.isSuperseded) this.end(other);
  }

  private end(session: UpstreamSession): void {
    session.close('superseded');
    this.forget(session);
  }

  /** Forgets a session that is over; a superseded one still holds what its end is to tell. */
  private forget(session: UpstreamSession): void {
    const { name } = session;
    if (session.isClosed && this.sessions.get(name) === session) this.sessions.delete(name);
  }

  private passOver(report: UpstreamReport, reason: string): void {
    const { sequence, isDraining, clockMs } = report;
    const upstream = buildLifeName(report);
    this.events.log('report-passed-over', { upstream, reason, sequence, isDraining, clockMs });
  }
}

/** Whether a report is of the life known under its id, or of a later one; one without a start is of neither. */
function isLaterOrSame({ bornAt }: UpstreamReport, current: UpstreamSession): boolean {
  if (current.bornAt === undefined) return true;
  return bornAt !== undefined && bornAt >= current.bornAt;
}

/** A life stays at its address and with its service. */
function isSamePlace({ address, service }: UpstreamReport, { newestReport }: UpstreamSession): boolean {
  return address === newestReport.address && service === newestReport.service;
}
