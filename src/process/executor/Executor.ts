/**
 * The agent's decisions: which entries may have work running here, and which upstream does it.
 *
 * An entry proves that it is alive by echoing pings. What it ordered is stopped once its newest echo is older than
 * `orphanAfterMs`, before any lease is renewed; so a lost, frozen or cut entry leaves nothing behind.
 */
import type { Clock } from '../../_lib/Clock.js';
import { buildTaskKey, OTHER_SUSPECT, UPSTREAM_CRASHED } from '../../connection/peer/peerMessages.js';
import type {
  ExecutorHello,
  AttemptProgress,
  AttemptResult,
  CrashedTask,
  CrashNotice,
  DemandNotice,
  Ping,
  Pong,
  CapacityReport,
  StartOrder,
  StopOrder,
  UpstreamDescription,
} from '../../connection/peer/peerMessages.js';
import type { UpstreamReport } from '../../ports/UpstreamRegistry.js';
import type { UpstreamApi } from '../../ports/UpstreamApi.js';
import { NO_RESOURCES } from '../../request/dispatch/resources.js';
import type { Resources } from '../../request/dispatch/submission.js';
import { roundSpeed } from '../roundSpeed.js';
import type { CapacitySharingKind } from '../settings/dispatchSettings.js';
import { FencingTokens } from './FencingTokens.js';
import type { LocalTask } from './localTask.js';
import { CapacityShares } from './CapacityShares.js';
import type { DispatcherUsage } from './CapacityShares.js';
import { UpstreamIncarnations } from './UpstreamIncarnations.js';
import { UpstreamSession } from './UpstreamSession.js';
import type { SessionBounds } from './sessionEvents.js';

/** How long results are kept to be told again on a new link, ms. */
const KEEP_RESULTS_MS = 2_500;
/** Time on the way and in the agent's loop that is added to when an orphan is surely gone, ms. */
const ORPHAN_MARGIN_MS = 60;
/** Time without progress from which on an entry is told of it, ms. */
const STALL_MS = 150;
/** Share of the typical speed below which an entry is told of all progress; entries move tasks at less. */
const CRAWL_SHARE = 0.7;
/** Age of an entry's newest echo, in parts of the time after which its work is stopped, from which on it is told no part. */
const SILENT_PART = 0.6;

/** Times the agent keeps to, ms. */
export interface ExecutorBounds extends SessionBounds {
  /** Age of an entry's newest echo from which on its work is stopped. */
  readonly orphanAfterMs: number;
}

/** What the core has its process do. */
export interface ExecutorEffects {
  readonly openApi: (report: UpstreamReport) => UpstreamApi;
  /** Sends a result to the entry's link, if it has one. */
  readonly sendResult: (entryLife: string, result: AttemptResult) => void;
  /** Sends crashes to the link of an entry that did not order the tasks. */
  readonly sendCrashes: (entryLife: string, notice: CrashNotice) => void;
  /** A life of an upstream takes work for the first time. */
  readonly handleJoined: (report: UpstreamReport) => void;
  /** Room has changed. */
  readonly handleChange: () => void;
  /** The capacity of an upstream has changed. */
  readonly handleCapacityChange: (report: UpstreamReport, before: Resources) => void;
  /** An entry is told a part of the room. */
  readonly handleShareChange?: () => void;
  readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void;
}

interface DispatcherLiveness {
  /** Our time of the newest ping that the entry has echoed. */
  provenAt: number;
  startsSeen: number;
  /** Typical speed of upstreams as the entry sees it. */
  typicalSpeed: number;
  /** What its link was last told; a new link has been told nothing. */
  told: ReportedCapacity;
  /** Whether its link is to be given up, so that it must order nothing new. */
  isRetiring: boolean;
  results: KeptResult[];
}

/** A result that was told of late. */
interface KeptResult {
  readonly at: number;
  readonly result: AttemptResult;
  /** Where it tells of a crash. */
  readonly crash: CrashedTask | undefined;
}

/** What a link was last told. */
interface ReportedCapacity {
  readonly description: UpstreamDescription | undefined;
  /** All of the rest but room and starts, as text. */
  readonly status: string;
  /** The rest as text; empty if it has to be told in any case. */
  readonly room: string;
}

/** Decides for one agent. */
export class Executor {
  private readonly liveness = new Map<string, DispatcherLiveness>();
  private readonly shares = new CapacityShares();
  private readonly incarnations: UpstreamIncarnations;
  private leaving = false;
  /** Whether the operators have emptied the agent's failure domain. */
  private isEmptied = false;
  /** Life of the entry that is preferred; empty for none. */
  private preferredIncarnation = '';

  constructor(
    private readonly identity: {
      readonly agent: string;
      readonly life: string;
      readonly failureDomain: string;
      /** Time of day at which this life began, Unix ms. */
      readonly startedAt: number;
    },
    private readonly bounds: ExecutorBounds,
    private readonly clock: Clock,
    private readonly effects: ExecutorEffects,
    private readonly sharing: CapacitySharingKind = 'open',
  ) {
    this.incarnations = new UpstreamIncarnations(
      clock,
      new FencingTokens(identity.startedAt, clock),
      bounds,
      {
        openApi: effects.openApi,
        handleJoined: effects.handleJoined,
        finish: (task, end, reason) => this.finish(task, end, reason),
        change: () => effects.handleChange(),
        changeCapacity: (report, before) => effects.handleCapacityChange(report, before),
        revalidate: (now) => this.expireDispatchers(now),
        log: effects.log,
      },
    );
  }

  /** Tasks that wait or may run. */
  get load(): number {
    let load = 0;
    for (const session of this.incarnations.list()) load += session.load;
    return load;
  }

  /** An upstream has reported. */
  handleReport(report: UpstreamReport): void {
    this.incarnations.handleReport(report);
  }

  /**
   * An upstream has said that it ends.
   *
   * @param upstreamId - of the upstream
   * @param bornAt - which life; undefined where it does not say
   */
  handleLeave(upstreamId: string, bornAt: number | undefined): void {
    this.incarnations.handleLeave(upstreamId, bornAt);
  }

  /** A link to an entry is open and the entry has said which life it is. */
  handleWelcome(entryLife: string, provenAt: number): void {
    const proof = this.recordLiveness(entryLife, provenAt);
    proof.startsSeen = 0;
    proof.told = NOTHING_TOLD;
    proof.isRetiring = false;
    this.shares.handleLinked(entryLife);
  }

  /** The link to an entry is to be given up once it has nothing here, or kept after all. */
  setRetiring(entryLife: string, isRetiring: boolean): void {
    this.findLiveness(entryLife, -Infinity).isRetiring = isRetiring;
  }

  /** Takes the life of the entry that is preferred to others; empty for none. Entries hear of it with their room. */
  setPreferred(entryLife: string): void {
    this.preferredIncarnation = entryLife;
  }

  /** Attempts that are held for an entry. */
  countHeld(entryLife: string): number {
    let held = 0;
    for (const session of this.incarnations.list()) held += session.listHeld(entryLife).length;
    return held;
  }

  /** An earlier life of an entry is over for sure. */
  handleDispatcherReplaced(entryLife: string): void {
    this.stopDispatcher(entryLife, 'entry-replaced');
    this.deliverCrashes(entryLife);
    this.liveness.delete(entryLife);
    this.shares.forget(entryLife);
  }

  /** Room that nobody uses. */
  get free(): Resources {
    return this.findSession()?.free ?? NO_RESOURCES;
  }

  /** Tasks have begun to wait at an entry. */
  handleDemand(entryLife: string, { waitingCpuMilli }: DemandNotice): void {
    this.shares.recordDemand(entryLife, waitingCpuMilli);
  }

  /** Whether an entry is told a part of the room, as it tells its demand. */
  hasShare(entryLife: string): boolean {
    return this.sharing === 'demand' && this.shares.hasReportedDemand(entryLife);
  }

  /**
   * Tells whether an entry is to hear of a change of room before its next ping.
   *
   * @param entryLife - of the entry
   * @param isWaiting - whether tasks wait there
   */
  needsCapacity(entryLife: string, isWaiting: boolean): boolean {
    if (!this.hasShare(entryLife)) return isWaiting;
    const { cpuMilli } = this.free;
    return this.shares.isDue(entryLife, cpuMilli, this.listDispatcherUsage(), this.clock.now());
  }

  /** Entries at which tasks wait, and the processor room that those ask for, thousandths of a core. */
  get demand(): { readonly entries: number; readonly cpuMilli: number } {
    return { entries: this.shares.waitingDispatchers, cpuMilli: this.shares.demand };
  }

  /** The entry has echoed a ping. */
  handlePong(entryLife: string, { at, typicalSpeed, isWaiting, waitingCpuMilli }: Pong): void {
    // The first echo of a link tells the amount; later ones leave it out while nothing waits.
    const isOver = !isWaiting && this.shares.hasReportedDemand(entryLife);
    this.shares.recordDemand(entryLife, isOver ? 0 : waitingCpuMilli);
    const proof = this.recordLiveness(entryLife, at);
    proof.typicalSpeed = typicalSpeed;
  }

  /** Builds the first message of a link; `entryLife` is the life that was last met there. */
  buildHello(entryLife: string): ExecutorHello {
    const held = this.incarnations.list().flatMap((session) => session.listHeld(entryLife));
    const { agent, life, failureDomain } = this.identity;
    const { leaseMs, stopMs, orphanAfterMs } = this.bounds;
    const orphanMs = orphanAfterMs + leaseMs * 1.05 + stopMs + ORPHAN_MARGIN_MS;
    const holding = held.map(({ order }) => order.name);
    const results = (this.liveness.get(entryLife)?.results ?? []).map(({ result }) => result);
    const takesBatches = true;
    return {
      type: 'agent-hello',
      agent,
      life,
      failureDomain,
      holding,
      results,
      entryLife,
      orphanMs,
      takesBatches,
    };
  }

  /** An entry orders a task. */
  handleStart(entryLife: string, order: StartOrder): void {
    const now = this.clock.now();
    this.expireDispatchers(now);
    const proof = this.findLiveness(entryLife, -Infinity);
    proof.startsSeen += 1;
    const refusal = this.findRefusal(order, proof, now);
    if (refusal instanceof UpstreamSession) {
      this.shares.recordStart(entryLife, order.resources.cpuMilli, now);
      return refusal.offer(order, entryLife);
    }
    this.sendResult(entryLife, { type: 'result', name: order.name, end: 'not-run', reason: refusal });
  }

  /** An entry wants an attempt ended; if it is not here, its result has been told or never will be. */
  handleStop(entryLife: string, { name }: StopOrder): void {
    const key = buildTaskKey(name);
    for (const session of this.incarnations.list()) {
      if (session.stop(key, name.attempt, entryLife, 'stopped-by-entry')) return;
    }
  }

  /** Builds a ping for one entry: room and progress only as far as its link needs to be told. */
  buildPing(entryLife: string, version: number): Ping {
    const at = Math.floor(this.clock.now());
    const progress = this.listProgress(entryLife);
    const room = this.takeCapacityReport(entryLife, true);
    return { type: 'ping', at, version, room, progress: progress.length > 0 ? progress : undefined };
  }

  /** Returns the room if it is not what the entry's link was last told, and takes it for told. */
  takeCapacityChange(entryLife: string): CapacityReport | undefined {
    return this.takeCapacityReport(entryLife, false);
  }

  /** Pings also tell which starts are counted; between them an entry's part is told if it does not know it. */
  private takeCapacityReport(entryLife: string, isPing: boolean): CapacityReport | undefined {
    const proof = this.findLiveness(entryLife, -Infinity);
    const { description, ...status } = this.buildStatus(entryLife);
    const { free, isKnown } = this.findReportedCapacity(entryLife, status.state);
    const rest = { ...status, free, startsSeen: proof.startsSeen };
    const told = { description, status: JSON.stringify(status), room: JSON.stringify(rest) };
    const isNew = description !== proof.told.description;
    if (!isNew && told.room === proof.told.room) return undefined;
    const isExpected = isKnown && proof.told.room !== '' && told.status === proof.told.status;
    if (!isNew && !isPing && isExpected) return undefined;
    if (this.hasShare(entryLife) && status.state === 'ready') this.effects.handleShareChange?.();
    proof.told = told;
    return { description: isNew ? description : undefined, ...rest };
  }

  private buildStatus(entryLife: string): Omit<CapacityReport, 'free' | 'startsSeen'> & {
    readonly description: UpstreamDescription;
  } {
    const { isRetiring } = this.findLiveness(entryLife, -Infinity);
    const session = this.findSession();
    const isHome = entryLife === this.preferredIncarnation ? true : undefined;
    if (!session) return { ...ABSENT_STATUS, isHome };
    return {
      description: session.description,
      state: this.leaving || this.isEmptied || isRetiring ? 'draining' : session.state,
      trust: session.readTrust(),
      speed: roundSpeed(session.readSpeed()),
      isHome,
    };
  }

  /** Room that an entry is told: its part, if it tells its demand. */
  private findReportedCapacity(
    entryLife: string,
    state: CapacityReport['state'],
  ): { readonly free: Resources; readonly isKnown: boolean } {
    const { free } = this;
    // Where one task at a time is taken, an entry sees by all of the room whether there is one.
    const isWhole = state !== 'ready' || this.findSession()?.readTrust() !== 'healthy';
    if (isWhole || !this.hasShare(entryLife)) return { free, isKnown: false };
    const entries = this.listDispatcherUsage();
    if (!entries.some(({ life }) => life === entryLife)) return { free: NO_RESOURCES, isKnown: false };
    const { cpuMilli, isKnown } = this.shares.reportShare(
      entryLife,
      free.cpuMilli,
      entries,
      this.clock.now(),
    );
    return { free: { ...free, cpuMilli }, isKnown };
  }

  /** Entries that may be told room: those that live and whose links are to stay. */
  private listDispatcherUsage(): DispatcherUsage[] {
    const now = this.clock.now();
    const used = this.findSession()?.sumUsed();
    const entries: DispatcherUsage[] = [];
    for (const [life, { provenAt, isRetiring }] of this.liveness) {
      if (isRetiring || now - provenAt > this.bounds.orphanAfterMs * SILENT_PART) continue;
      entries.push({ life, used: used?.get(life) ?? 0, isPreferred: life === this.preferredIncarnation });
    }
    return entries;
  }

  /** Attempts of an entry that stand still or crawl: only those may be moved. */
  private listProgress(entryLife: string): AttemptProgress[] {
    const now = this.clock.now();
    const typicalSpeed = this.liveness.get(entryLife)?.typicalSpeed ?? 1;
    const progress: AttemptProgress[] = [];
    for (const session of this.incarnations.list()) {
      const crawls = session.readSpeed() < typicalSpeed * CRAWL_SHARE;
      for (const { phase, order, percent, percentAt } of session.listHeld(entryLife)) {
        const stalledMs = Math.round(now - percentAt);
        if (phase !== 'running' || (!crawls && stalledMs < STALL_MS)) continue;
        progress.push({ name: order.name, percent, stalledMs });
      }
    }
    return progress;
  }

  /** Does what time brings. */
  tick(): void {
    const now = this.clock.now();
    this.expireDispatchers(now);
    this.incarnations.tick(now);
  }

  /** Takes nothing new from now on. */
  leave(): void {
    this.leaving = true;
    this.effects.handleChange();
  }

  /**
   * The operators have emptied the agent's failure domain, or taken it back. What runs there runs on to its end; nothing
   * is begun, also if its dispatcher has not heard of it.
   */
  setEmptied(isEmptied: boolean): void {
    if (isEmptied === this.isEmptied) return;
    this.isEmptied = isEmptied;
    if (isEmptied) for (const session of this.incarnations.list()) session.dropWaiting(DOMAIN_EMPTIED);
    this.effects.handleChange();
  }

  /** Stops everything. */
  stopAll(reason: string): void {
    for (const session of this.incarnations.list()) session.stopAll(reason);
  }

  /** Ends the sessions; what runs lapses. */
  close(): void {
    for (const session of this.incarnations.list()) session.close('agent-ends');
  }

  /** Stops what belongs to entries that have not proved to be alive, before anything is renewed for them. */
  private expireDispatchers(now: number): void {
    for (const [life, proof] of this.liveness) {
      const ageMs = now - proof.provenAt;
      if (ageMs <= this.bounds.orphanAfterMs) continue;
      const stopped = this.stopDispatcher(life, 'entry-silent');
      if (stopped > 0)
        this.effects.log('entry-silent', { entryLife: life, ageMs: Math.round(ageMs), stopped });
      this.deliverCrashes(life);
      while (proof.results[0] && now - proof.results[0].at > KEEP_RESULTS_MS) proof.results.shift();
      if (ageMs <= FORGET_ENTRY_MS) continue;
      this.liveness.delete(life);
      this.shares.forget(life);
    }
  }

  /**
   * Crashes that an entry may not have heard of, as it has proved nothing since, are told another one: the callers of the
   * tasks will submit them again there.
   */
  private deliverCrashes(entryLife: string): void {
    const proof = this.findLiveness(entryLife, -Infinity);
    const unheard = proof.results.filter(({ crash, at }) => crash && at > proof.provenAt);
    if (unheard.length === 0) return;
    const heir = this.findLiveDispatcher(entryLife);
    if (heir === undefined) return;
    proof.results = proof.results.filter((kept) => !unheard.includes(kept));
    const tasks = unheard.flatMap(({ crash }) => crash ?? []);
    this.effects.sendCrashes(heir, { type: 'crashes', tasks });
    this.effects.log('crashes-handed-over', { entryLife, heir, tasks: tasks.length });
  }

  /** The entry, other than this one, that has proved last to be alive. */
  private findLiveDispatcher(other: string): string | undefined {
    const oldest = this.clock.now() - this.bounds.orphanAfterMs;
    let [best, bestAt]: [string | undefined, number] = [undefined, oldest];
    for (const [life, { provenAt }] of this.liveness)
      if (life !== other && provenAt > bestAt) [best, bestAt] = [life, provenAt];
    return best;
  }

  private stopDispatcher(entryLife: string, reason: string): number {
    let stopped = 0;
    for (const session of this.incarnations.list()) stopped += session.stopOwner(entryLife, reason);
    return stopped;
  }

  private findRefusal(order: StartOrder, proof: DispatcherLiveness, now: number): string | UpstreamSession {
    if (this.leaving) return 'leaving';
    if (this.isEmptied) return DOMAIN_EMPTIED;
    if (now > order.expiresAt) return 'expired';
    if (now - proof.provenAt > this.bounds.orphanAfterMs) return 'entry-unproven';
    const session = this.findSession();
    if (!session || session.state !== 'ready') return 'no-upstream';
    if (session.service !== order.service) return 'other-service';
    if (order.isSuspect && session.hasSuspect) return OTHER_SUSPECT;
    return session;
  }

  /** The upstream that takes work: a ready one before one that joins or drains. */
  private findSession(): UpstreamSession | undefined {
    let best: UpstreamSession | undefined;
    for (const session of this.incarnations.list()) {
      if (session.isClosed) continue;
      if (!best || STATE_ORDER.indexOf(session.state) < STATE_ORDER.indexOf(best.state)) best = session;
    }
    return best;
  }

  /** Takes a newer proof; it counts for what is ordered from now on, and not for what it comes too late for. */
  private recordLiveness(entryLife: string, provenAt: number): DispatcherLiveness {
    this.expireDispatchers(this.clock.now());
    const proof = this.findLiveness(entryLife, provenAt);
    proof.provenAt = Math.max(proof.provenAt, provenAt);
    return proof;
  }

  private findLiveness(entryLife: string, provenAt: number): DispatcherLiveness {
    let proof = this.liveness.get(entryLife);
    if (!proof) this.liveness.set(entryLife, (proof = createProof(provenAt)));
    return proof;
  }

  private finish(task: LocalTask, end: AttemptResult['end'], reason: string): void {
    const result: AttemptResult = { type: 'result', name: task.order.name, end, reason };
    if (end !== 'done') {
      const { key, run } = task;
      const waitedMs = Math.round((task.sentAt ?? this.clock.now()) - task.receivedAt);
      this.effects.log('task-ended', { task: key, run, end, reason, percent: task.percent, waitedMs });
    }
    this.sendResult(task.owner, result, this.findCrash(task, reason));
  }

  private findCrash({ order, sentAt }: LocalTask, reason: string): CrashedTask | undefined {
    if (reason !== UPSTREAM_CRASHED) return undefined;
    const { job, step, index } = order.name;
    const ranMs = Math.round(this.clock.now() - (sentAt ?? this.clock.now()));
    const isIsolated = order.isSuspect === true;
    return { job, step, index, estimateMs: order.estimateMs, ranMs, isIsolated };
  }

  private sendResult(entryLife: string, result: AttemptResult, crash?: CrashedTask): void {
    const now = this.clock.now();
    const proof = this.findLiveness(entryLife, -Infinity);
    const { results } = proof;
    // The entry takes the room of an attempt that has ended for free, until it is told the room again.
    proof.told = { ...proof.told, room: '' };
    while (results[0] && now - results[0].at > KEEP_RESULTS_MS) results.shift();
    results.push({ at: now, result, crash });
    this.effects.sendResult(entryLife, result);
  }
}

/** Why an attempt is not begun while the agent's failure domain is emptied. */
const DOMAIN_EMPTIED = 'domain-emptied';

/** Entries that have been silent for so long are forgotten, ms. */
const FORGET_ENTRY_MS = 10_000;

const STATE_ORDER = ['ready', 'silent', 'joining', 'draining', 'absent'] as const;

const NOTHING_TOLD: ReportedCapacity = { description: undefined, status: '', room: '' };

const ABSENT_DESCRIPTION: UpstreamDescription = {
  upstream: '',
  service: '',
  labels: [],
  capacity: NO_RESOURCES,
};

const ABSENT_STATUS = {
  description: ABSENT_DESCRIPTION,
  state: 'absent',
  trust: 'healthy',
  speed: 1,
} as const;

function createProof(provenAt: number): DispatcherLiveness {
  return {
    provenAt,
    startsSeen: 0,
    typicalSpeed: 1,
    told: NOTHING_TOLD,
    isRetiring: false,
    results: [],
  };
}
