/**
 * The lives of the upstream beside an agent, each with a session of its own, so that nothing that is counted in one life
 * is held against the next.
 *
 * A life is known by id and start: an upstream may start again under the id that it had. A report opens a session, and
 * may be of another writer, or of an earlier life and held up until now. Which life is there is told by answers only: a
 * session ends when another id answers, and is superseded when another start does.
 *
 * Orders that are sent before a next life is noticed reach that life. So what a superseded life ran counts as over only
 * once the next one has taken a call with a token that is newer than all of those, and runs nothing unknown.
 */
import type { Clock } from '../../_lib/Clock.js';
import type { UpstreamReport } from '../../ports/UpstreamRegistry.js';
import type { UpstreamApi } from '../../ports/UpstreamApi.js';
import { buildIncarnationName } from './buildIncarnationName.js';
import type { FencingTokens } from './FencingTokens.js';
import { UpstreamSession } from './UpstreamSession.js';
import type { SessionBounds, SessionEvents } from './sessionEvents.js';

/** After this time out of reach and without a report an upstream is forgotten, ms. */
const FORGET_UPSTREAM_MS = 5_000;
/** Number of a report that a life has not sent itself; each that it sends is higher. */
const UNREPORTED = -1;

/** What the lives tell their agent; the rest is for the sessions. */
export interface IncarnationEvents extends Omit<SessionEvents, 'join' | 'settle' | 'findOtherLife'> {
  readonly openApi: (report: UpstreamReport) => UpstreamApi;
  /** A life takes work for the first time. */
  readonly handleJoined: (report: UpstreamReport) => void;
}

/** Sessions with the lives of an upstream. */
export class UpstreamIncarnations {
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
    private readonly events: IncarnationEvents,
  ) {}

  /** All sessions that hold something, or may. */
  list(): UpstreamSession[] {
    return [...this.sessions.values()];
  }

  /** Takes a report of any life. */
  handleReport(report: UpstreamReport): void {
    const known = this.sessions.get(buildIncarnationName(report));
    if (!known || known.isClosed) return this.handleNewIncarnation(report);
    if (known.isSuperseded) return this.skipReport(report, 'of an earlier life');
    if (isSamePlace(report, known)) return this.describe(known, report);
    if (known.isDescribed && known.isJoined) return this.skipReport(report, 'of another place');
    known.close('reported-elsewhere');
    this.open(report, true);
  }

  /**
   * An upstream has said that it ends.
   *
   * @param id - of the upstream
   * @param bornAt - which life; undefined where it does not say
   */
  handleLeave(id: string, bornAt: number | undefined): void {
    for (const session of this.listIncarnations(id)) {
      if (bornAt === undefined || bornAt === session.bornAt) session.leave();
      else this.events.log('leave-passed-over', { upstream: session.name, bornAt });
    }
  }

  /** Forgets lives that are over; what they held is told to have ended. */
  tick(now: number): void {
    for (const session of this.list()) {
      session.beginWaiting();
      const reportedAt = this.reportedAt.get(session.name) ?? now;
      if (!session.isReachable && now - reportedAt > FORGET_UPSTREAM_MS) session.close('forgotten');
      const isLast = !this.listIncarnations(session.id).some(({ isReachable }) => isReachable);
      if (session.isSuperseded && isLast) this.end(session);
    }
    for (const name of this.reportedAt.keys()) if (!this.sessions.has(name)) this.reportedAt.delete(name);
  }

  /** Lives of an upstream that may be there. */
  private listIncarnations(id: string): UpstreamSession[] {
    return this.list().filter((one) => one.id === id && !one.isSuperseded && !one.isClosed);
  }

  /** Takes the report of a life that is not known; one that began before the life that answers is over. */
  private handleNewIncarnation(report: UpstreamReport): void {
    const current = this.listIncarnations(report.id).find(({ isJoined }) => isJoined);
    if (current && isEarlier(report, current)) return this.skipReport(report, 'of an earlier life');
    this.open(report, true);
  }

  private open(report: UpstreamReport, isDescribed: boolean): UpstreamSession {
    const name = buildIncarnationName(report);
    const { clock, tokens, bounds } = this;
    const executor = this.events.openApi(report);
    const events = this.buildSessionEvents(() => session);
    const session = new UpstreamSession(report, isDescribed, executor, clock, tokens, bounds, events);
    // A superseded session of this life ends with what it holds.
    this.sessions.get(name)?.close('superseded');
    this.sessions.set(name, session);
    this.reportedAt.set(name, clock.now());
    const { service, capacity, labels, isDraining } = report;
    const fields = { upstream: name, service, capacity, labels, isDraining, isDescribed };
    this.events.log('upstream-found', fields);
    void session.run().finally(() => this.forget(session));
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

  /** Takes what a life says of itself; one that was found by its answer only may take work from now on. */
  private describe(session: UpstreamSession, report: UpstreamReport): void {
    this.reportedAt.set(session.name, this.clock.now());
    const wasDescribed = session.isDescribed;
    session.update(report);
    if (!wasDescribed && session.isJoined) this.events.handleJoined(report);
  }

  /** A life other than the one that was meant has answered. What it has is not known before it reports itself. */
  private handleOtherIncarnation(meant: UpstreamSession, bornAt: number, clockMs: number): void {
    const report = { ...meant.newestReport, bornAt, clockMs, sequence: UNREPORTED, isDraining: false };
    const known = this.sessions.get(buildIncarnationName(report));
    const isThere = known && !known.isClosed && !known.isSuperseded;
    this.supersede(meant, isThere ? known : this.open(report, false));
  }

  /** A life takes work for the first time; one that was found by its answer is kept once it is described. */
  private handleJoin(session: UpstreamSession): void {
    if (session.isDescribed) this.events.handleJoined(session.newestReport);
  }

  private supersede(earlier: UpstreamSession, next: UpstreamSession): void {
    earlier.supersede();
    next.takeOver();
  }

  /**
   * A life is there and runs nothing unknown: supersedes all others, and ends those for which a call that was sent since
   * has shown that.
   *
   * @returns whether no other life is left
   */
  private settle(session: UpstreamSession, sentAt: number): boolean {
    const others = this.list().filter((one) => one.id === session.id && one !== session);
    for (const other of others) {
      if (!other.isSuperseded) this.supersede(other, session);
      else if ((other.supersededAt ?? sentAt) < sentAt) this.end(other);
    }
    return others.every(({ isClosed }) => isClosed);
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

  private skipReport(report: UpstreamReport, reason: string): void {
    const { sequence, isDraining, clockMs } = report;
    const upstream = buildIncarnationName(report);
    this.events.log('report-passed-over', { upstream, reason, sequence, isDraining, clockMs });
  }
}

/** Whether a report is of a life before the one that answers; where that tells its start, one without is of none. */
function isEarlier({ bornAt }: UpstreamReport, current: UpstreamSession): boolean {
  return current.bornAt !== undefined && (bornAt === undefined || bornAt < current.bornAt);
}

/** A life stays at its address and with its service. */
function isSamePlace({ address, service }: UpstreamReport, { newestReport }: UpstreamSession): boolean {
  return address === newestReport.address && service === newestReport.service;
}
