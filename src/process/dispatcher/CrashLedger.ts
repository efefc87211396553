/**
 * How many upstreams have crashed under each task, and what that says of the task.
 *
 * A task that crashes whatever runs it (a poison task, or query of death) takes along all that runs beside it, and is
 * started again with them. So a task that was at a crash is a suspect, and runs where no other suspect does: then the next
 * crash tells which one it is. Crashes that come together have another cause, and nobody is blamed for them.
 */
import type { AttemptName, SuspectTask } from '../../connection/peer/peerMessages.js';

/** Names a task. */
export type TaskName = Omit<AttemptName, 'attempt'>;

/** Crashes that come within so long may have one cause, ms: about as long as executors take to notice one, and a second. */
export const TOGETHER_MS = 1_500;
/** So many of the upstreams of a failure domain, or of all, that crash together have a cause of their own. */
const DOMAIN_SHARE = 0.5;
const DOMAIN_LEAST = 3;
const FLEET_SHARE = 0.3;
const FLEET_LEAST = 4;
/**
 * Crashes beyond the limit after which a task counts as their cause however they came about: with a limit of two, a task
 * that crashes everything is started once more at most after three crashes.
 */
const EXTRA_CRASHES = 2;
/** A crash is no proof against a task that had run for more than this many of its estimates, and for longer than this, ms. */
const LONG_RUN_FACTOR = 4;
const LONG_RUN_MS = 3_000;
/** How long a suspect is remembered, ms: its caller may submit the job again several times. */
const KEEP_MS = 30_000;
/** Most suspects that are remembered; the oldest are forgotten first. */
const MAX_SUSPECTS = 1_000;

/** A crash of an upstream under a task. */
export interface TaskCrash {
  /** The agent beside the upstream. */
  readonly agent: string;
  readonly failureDomain: string;
  /** Whether no other suspect was there. */
  readonly isIsolated: boolean;
  /** Time from sending the task until the crash was told, ms. */
  readonly ranMs: number;
  readonly estimateMs: number;
}

/** Upstreams against which crashes are counted. */
export interface Fleet {
  /** In the failure domain of the crash. */
  readonly inDomain: number;
  readonly all: number;
  /** Those of them that have ceased to answer of late, in the failure domain and in all. */
  readonly downInDomain: number;
  readonly down: number;
}

interface Suspect extends TaskName {
  revision: number;
  crashes: number;
  blames: number;
  proofs: number;
  changedAt: number;
}

interface Blame {
  readonly suspect: Suspect;
  readonly isProof: boolean;
}

/** A crash of late, and who was blamed for it. */
interface RecentCrash {
  readonly agent: string;
  readonly failureDomain: string;
  readonly at: number;
  blames: Blame[];
}

/** Suspects that a dispatcher knows of. */
export class CrashLedger {
  /** By job. */
  private readonly suspects = new Map<string, Suspect[]>();
  private count = 0;
  private recent: RecentCrash[] = [];
  /** Suspects that have changed since they were last told. */
  private readonly news = new Set<Suspect>();

  /** @param limit - upstreams that may crash under a task while it is isolated; 0 counts nothing */
  constructor(private readonly limit: number) {}

  /** Tasks that are remembered. */
  get size(): number {
    return this.count;
  }

  /** Whether a task has to run apart from others that are suspect. */
  isSuspect(name: TaskName): boolean {
    return this.count > 0 && (this.find(name)?.blames ?? 0) > 0;
  }

  /** Whether a task is not to be started any more. */
  isCondemned(name: TaskName): boolean {
    if (this.count === 0) return false;
    const suspect = this.find(name);
    return suspect !== undefined && this.hasReachedLimit(suspect);
  }

  /** Tasks of a job that are not to be started any more. */
  listCondemned(job: string): TaskName[] {
    if (this.count === 0) return [];
    return (this.suspects.get(job) ?? []).filter((suspect) => this.hasReachedLimit(suspect));
  }

  /** Upstreams that have crashed under a task. */
  countCrashes(name: TaskName): number {
    return this.find(name)?.crashes ?? 0;
  }

  /**
   * Counts a crash of an upstream under a task.
   *
   * @param name - of the task
   * @param crash - where, and how the task ran
   * @param fleet - upstreams that are known
   * @param now - monotonic time, ms
   * @returns whether the task is blamed; false if many have crashed together
   */
  recordCrash(name: TaskName, crash: TaskCrash, fleet: Fleet, now: number): boolean {
    if (this.limit === 0) return false;
    const suspect = this.find(name) ?? this.add(name, now);
    suspect.crashes += 1;
    this.change(suspect, now);
    const recent = this.recordRecent(crash, now);
    if (this.isTogether(crash.failureDomain, fleet)) {
      this.withdrawBlames(now);
      return false;
    }
    const isProof = crash.isIsolated && !isLongRun(crash);
    suspect.blames += 1;
    suspect.proofs += Number(isProof);
    recent.blames.push({ suspect, isProof });
    return true;
  }

  /** A task is done: nothing counts against it any more. Returns whether something did. */
  release(name: TaskName): boolean {
    if (this.count === 0) return false;
    const suspect = this.find(name);
    if (!suspect) return false;
    this.drop(suspect);
    return true;
  }

  /** Takes what another dispatcher has counted. Returns the tasks of which that is news. */
  adopt(tasks: readonly SuspectTask[], now: number): SuspectTask[] {
    if (this.limit === 0) return [];
    return tasks.filter((told) => {
      const known = this.find(told);
      if (known && known.revision >= told.revision) return false;
      const { revision, crashes, blames, proofs } = told;
      Object.assign(known ?? this.add(told, now), { revision, crashes, blames, proofs, changedAt: now });
      return true;
    });
  }

  /** Takes what other dispatchers are to be told. */
  takeNews(): SuspectTask[] {
    if (this.news.size === 0) return [];
    const tasks = [...this.news].map(convertSuspect);
    this.news.clear();
    return tasks;
  }

  /** All suspects, for a dispatcher that has just been met. */
  list(): SuspectTask[] {
    return [...this.suspects.values()].flat().map(convertSuspect);
  }

  /** Forgets what is long ago. */
  tick(now: number): void {
    if (this.count === 0) return;
    for (const suspects of [...this.suspects.values()])
      for (const suspect of [...suspects]) if (now - suspect.changedAt > KEEP_MS) this.drop(suspect);
  }

  private hasReachedLimit({ proofs, crashes }: Suspect): boolean {
    return proofs >= this.limit || crashes >= this.limit + EXTRA_CRASHES;
  }

  /** Crashes of one upstream under several tasks are one. */
  private recordRecent({ agent, failureDomain }: TaskCrash, now: number): RecentCrash {
    this.recent = this.recent.filter(({ at }) => now - at <= TOGETHER_MS);
    const known = this.recent.find((one) => one.agent === agent);
    if (known) return known;
    const crash = { agent, failureDomain, at: now, blames: [] };
    this.recent.push(crash);
    return crash;
  }

  private isTogether(failureDomain: string, { inDomain, all, downInDomain, down }: Fleet): boolean {
    const crashedHere = this.recent.filter((one) => one.failureDomain === failureDomain).length;
    const here = Math.max(downInDomain, crashedHere);
    if (here >= Math.max(DOMAIN_LEAST, inDomain * DOMAIN_SHARE)) return true;
    return Math.max(this.recent.length, down) >= Math.max(FLEET_LEAST, all * FLEET_SHARE);
  }

  /** Many have crashed together: nobody is blamed for any of them. The crashes as such still count. */
  private withdrawBlames(now: number): void {
    for (const crash of this.recent) {
      for (const { suspect, isProof } of crash.blames) {
        // What another dispatcher has told may have withdrawn this crash already.
        suspect.blames = Math.max(0, suspect.blames - 1);
        suspect.proofs = Math.max(0, suspect.proofs - Number(isProof));
        if (this.find(suspect) === suspect) this.change(suspect, now);
      }
      crash.blames = [];
    }
  }

  private change(suspect: Suspect, now: number): void {
    suspect.revision += 1;
    suspect.changedAt = now;
    this.news.add(suspect);
  }

  private find({ job, step, index }: TaskName): Suspect | undefined {
    return this.suspects.get(job)?.find((one) => one.step === step && one.index === index);
  }

  private add({ job, step, index }: TaskName, now: number): Suspect {
    if (this.count >= MAX_SUSPECTS) this.dropOldest();
    const suspect = { job, step, index, revision: 0, crashes: 0, blames: 0, proofs: 0, changedAt: now };
    const ofJob = this.suspects.get(job);
    if (ofJob) ofJob.push(suspect);
    else this.suspects.set(job, [suspect]);
    this.count += 1;
    return suspect;
  }

  /**
   * Jobs stand in the order in which a task of theirs became suspect. Tasks under which many upstreams have crashed are kept
   * for as long as there are others, as their count would begin anew.
   */
  private dropOldest(): void {
    for (const ofJob of this.suspects.values()) {
      const spare = ofJob.find(({ crashes }) => crashes < this.limit);
      if (spare) return this.drop(spare);
    }
    const [oldest] = this.suspects.values();
    if (oldest?.[0]) this.drop(oldest[0]);
  }

  private drop(suspect: Suspect): void {
    const ofJob = this.suspects.get(suspect.job) ?? [];
    const left = ofJob.filter((one) => one !== suspect);
    if (left.length > 0) this.suspects.set(suspect.job, left);
    else this.suspects.delete(suspect.job);
    this.news.delete(suspect);
    this.count -= 1;
  }
}

function isLongRun({ ranMs, estimateMs }: TaskCrash): boolean {
  return ranMs > LONG_RUN_MS && ranMs > estimateMs * LONG_RUN_FACTOR;
}

function convertSuspect({ job, step, index, revision, crashes, blames, proofs }: Suspect): SuspectTask {
  return { job, step, index, revision, crashes, blames, proofs };
}
