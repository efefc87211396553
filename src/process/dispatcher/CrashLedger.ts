/**
 * Counts the crashes of upstreams under each task to find tasks that cause them.
 *
 * A task that crashes every upstream (a poison task, or query of death) also ends all tasks beside it, and
 * would be started again with them. So each task that ran during a crash becomes a suspect and runs apart
 * from other suspects: the next crash then identifies the cause. Correlated crashes have another cause, and
 * no task is blamed for them.
 */
import type { AttemptName, SuspectTask } from '../../connection/peer/peerMessages.js';

/** Identifies a task. */
export type TaskName = Omit<AttemptName, 'attempt'>;

/** Window within which crashes may have a common cause, ms: detection time of executors plus a second. */
export const CORRELATION_WINDOW_MS = 1_500;
/**
 * Crashes within the window that count as correlated: this fraction of the upstreams of a failure domain,
 * or of all upstreams, but at least this number.
 */
const DOMAIN_SHARE = 0.5;
const DOMAIN_MIN_CRASHES = 3;
const FLEET_SHARE = 0.3;
const FLEET_MIN_CRASHES = 4;
/**
 * Crashes beyond the limit after which a task counts as the cause even without proof. With a limit of two, a
 * task that crashes every upstream is started at most once more after three crashes.
 */
const EXTRA_CRASHES = 2;
/** A crash is no proof after a run longer than both this multiple of the estimate and this time, ms. */
const LONG_RUN_FACTOR = 4;
const LONG_RUN_MS = 3_000;
/** How long a record is kept after its last change, ms; covers several resubmissions of the job. */
const RETENTION_MS = 30_000;
/** Maximum number of records. */
const MAX_RECORDS = 1_000;

/** A crash of an upstream under a task. */
export interface TaskCrash {
  /** Executor beside the upstream. */
  readonly executorId: string;
  readonly failureDomain: string;
  /** Whether the task was sent as a suspect, so that no other suspect ran at the upstream. */
  readonly isIsolated: boolean;
  /** Time from sending the task until the crash was reported, ms. */
  readonly ranMs: number;
  readonly estimateMs: number;
}

/** Number of upstreams, used to detect correlated crashes. */
export interface Fleet {
  /** Upstreams in the failure domain of the crash. */
  readonly inDomain: number;
  readonly all: number;
  /** Upstreams that became unresponsive recently, in the failure domain and in total. */
  readonly downInDomain: number;
  readonly down: number;
}

/** Counts of a task under which an upstream has crashed. It is a suspect while it has blames. */
interface CrashRecord extends TaskName {
  /** Rises with each change; the counts with the higher revision are kept when dispatchers exchange them. */
  revision: number;
  /** All crashes under the task. */
  crashes: number;
  /** Crashes that are not correlated with others. */
  blames: number;
  /** Blamed crashes while the task was isolated, and not after a long run. */
  proofs: number;
  changedAt: number;
}

interface Blame {
  readonly record: CrashRecord;
  readonly isProof: boolean;
}

/** A recent crash and the tasks blamed for it. */
interface RecentCrash {
  readonly executorId: string;
  readonly failureDomain: string;
  readonly at: number;
  blames: Blame[];
}

/** Crash counts of tasks at one dispatcher. */
export class CrashLedger {
  /** Records by job id. */
  private readonly records = new Map<string, CrashRecord[]>();
  private count = 0;
  private recent: RecentCrash[] = [];
  /** Records that have changed since they were last sent to other dispatchers. */
  private readonly changed = new Set<CrashRecord>();

  /** @param limit - crashes that count as proof after which a task is not restarted; 0 disables counting */
  constructor(private readonly limit: number) {}

  /** Number of tasks with counted crashes, including those that are not blamed. */
  get size(): number {
    return this.count;
  }

  /** Whether a task must run apart from other suspects. */
  isSuspect(name: TaskName): boolean {
    return this.count > 0 && (this.find(name)?.blames ?? 0) > 0;
  }

  /** Whether a task has reached the crash limit and must not be started again. */
  isOverLimit(name: TaskName): boolean {
    if (this.count === 0) return false;
    const record = this.find(name);
    return record !== undefined && this.hasReachedLimit(record);
  }

  /** Lists the tasks of a job that have reached the crash limit. */
  listOverLimit(job: string): TaskName[] {
    if (this.count === 0) return [];
    return (this.records.get(job) ?? []).filter((record) => this.hasReachedLimit(record));
  }

  /** Counts the crashes of upstreams under a task. */
  countCrashes(name: TaskName): number {
    return this.find(name)?.crashes ?? 0;
  }

  /**
   * Records a crash of an upstream under a task.
   *
   * @param name - the task
   * @param crash - place and circumstances of the crash
   * @param fleet - number of upstreams
   * @param now - monotonic time, ms
   * @returns whether the task is blamed; false if the crash is correlated with others or nothing is counted
   */
  recordCrash(name: TaskName, crash: TaskCrash, fleet: Fleet, now: number): boolean {
    if (this.limit === 0) return false;
    const record = this.find(name) ?? this.add(name, now);
    record.crashes += 1;
    this.markChanged(record, now);
    const recentCrash = this.recordRecent(crash, now);
    if (this.isCorrelated(crash.failureDomain, fleet)) {
      this.revokeBlames(now);
      return false;
    }
    const isProof = crash.isIsolated && !isLongRun(crash);
    record.blames += 1;
    record.proofs += Number(isProof);
    recentCrash.blames.push({ record, isProof });
    return true;
  }

  /** Removes the record of a task that is done. Returns whether there was one. */
  release(name: TaskName): boolean {
    if (this.count === 0) return false;
    const record = this.find(name);
    if (!record) return false;
    this.remove(record);
    return true;
  }

  /** Replaces older counts by those of another dispatcher. Returns the tasks whose counts were newer. */
  adopt(tasks: readonly SuspectTask[], now: number): SuspectTask[] {
    if (this.limit === 0) return [];
    return tasks.filter((report) => {
      const known = this.find(report);
      if (known && known.revision >= report.revision) return false;
      const { revision, crashes, blames, proofs } = report;
      Object.assign(known ?? this.add(report, now), { revision, crashes, blames, proofs, changedAt: now });
      return true;
    });
  }

  /** Returns the records that have changed since the last call. */
  takeUpdates(): SuspectTask[] {
    if (this.changed.size === 0) return [];
    const tasks = [...this.changed].map(toSuspectTask);
    this.changed.clear();
    return tasks;
  }

  /** Lists all records, for a newly linked dispatcher. */
  list(): SuspectTask[] {
    return [...this.records.values()].flat().map(toSuspectTask);
  }

  /** Removes expired records. */
  tick(now: number): void {
    if (this.count === 0) return;
    for (const records of [...this.records.values()])
      for (const record of [...records]) if (now - record.changedAt > RETENTION_MS) this.remove(record);
  }

  private hasReachedLimit({ proofs, crashes }: CrashRecord): boolean {
    return proofs >= this.limit || crashes >= this.limit + EXTRA_CRASHES;
  }

  /** Records a recent crash; crashes of one upstream under several tasks count once. */
  private recordRecent({ executorId, failureDomain }: TaskCrash, now: number): RecentCrash {
    this.recent = this.recent.filter(({ at }) => now - at <= CORRELATION_WINDOW_MS);
    const known = this.recent.find((other) => other.executorId === executorId);
    if (known) return known;
    const crash = { executorId, failureDomain, at: now, blames: [] };
    this.recent.push(crash);
    return crash;
  }

  private isCorrelated(failureDomain: string, { inDomain, all, downInDomain, down }: Fleet): boolean {
    const crashedInDomain = this.recent.filter((other) => other.failureDomain === failureDomain).length;
    const affectedInDomain = Math.max(downInDomain, crashedInDomain);
    if (affectedInDomain >= Math.max(DOMAIN_MIN_CRASHES, inDomain * DOMAIN_SHARE)) return true;
    return Math.max(this.recent.length, down) >= Math.max(FLEET_MIN_CRASHES, all * FLEET_SHARE);
  }

  /** Revokes the blame for recent crashes, which are correlated. The crashes themselves still count. */
  private revokeBlames(now: number): void {
    for (const crash of this.recent) {
      for (const { record, isProof } of crash.blames) {
        // A report of another dispatcher may already have revoked this crash.
        record.blames = Math.max(0, record.blames - 1);
        record.proofs = Math.max(0, record.proofs - Number(isProof));
        if (this.find(record) === record) this.markChanged(record, now);
      }
      crash.blames = [];
    }
  }

  private markChanged(record: CrashRecord, now: number): void {
    record.revision += 1;
    record.changedAt = now;
    this.changed.add(record);
  }

  private find({ job, step, index }: TaskName): CrashRecord | undefined {
    return this.records.get(job)?.find((other) => other.step === step && other.index === index);
  }

  private add({ job, step, index }: TaskName, now: number): CrashRecord {
    if (this.count >= MAX_RECORDS) this.removeOldest();
    const record = { job, step, index, revision: 0, crashes: 0, blames: 0, proofs: 0, changedAt: now };
    const jobRecords = this.records.get(job);
    if (jobRecords) jobRecords.push(record);
    else this.records.set(job, [record]);
    this.count += 1;
    return record;
  }

  /**
   * Removes the oldest record: jobs are in the order of their first record. Tasks with as many crashes as the
   * limit are removed last, since their counts would start again at 0.
   */
  private removeOldest(): void {
    for (const jobRecords of this.records.values()) {
      const removable = jobRecords.find(({ crashes }) => crashes < this.limit);
      if (removable) return this.remove(removable);
    }
    const [oldest] = this.records.values();
    if (oldest?.[0]) this.remove(oldest[0]);
  }

  private remove(record: CrashRecord): void {
    const jobRecords = this.records.get(record.job) ?? [];
    const kept = jobRecords.filter((other) => other !== record);
    if (kept.length > 0) this.records.set(record.job, kept);
    else this.records.delete(record.job);
    this.changed.delete(record);
    this.count -= 1;
  }
}

function isLongRun({ ranMs, estimateMs }: TaskCrash): boolean {
  return ranMs > LONG_RUN_MS && ranMs > estimateMs * LONG_RUN_FACTOR;
}

function toSuspectTask({ job, step, index, revision, crashes, blames, proofs }: CrashRecord): SuspectTask {
  return { job, step, index, revision, crashes, blames, proofs };
}
