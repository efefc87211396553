/** Settings of each role, as checked and completed with the defaults. */

/** Listening address of a daemon. */
export interface ListenSettings {
  readonly host: string;
  readonly httpPort: number;
  readonly linkPort: number;
}

/** StatsD server for metrics; port 0 to disable them. */
export interface MetricsSettings {
  readonly host: string;
  readonly port: number;
  readonly prefix: string;
}

/** Settings common to entries and agents. */
export interface CommonSettings {
  readonly id: string;
  readonly failureDomain: string;
  readonly platformUrl: string;
  readonly secret: string;
  readonly logLevel: 'trace' | 'debug' | 'info' | 'warn' | 'error' | 'silent';
  readonly decisionLog: boolean;
  readonly metrics: MetricsSettings;
  readonly drainTimeoutMs: number;
  readonly pauseBoundMs: number;
  /** Memory of the VM, MiB; an eighth is for input of clients that are not admitted. */
  readonly memoryMb: number;
  /** Descriptors that the process may open; two thirds of those for sockets are for clients. */
  readonly maxDescriptors: number;
  /** Most memory of input of clients that are not admitted, bytes; 0 for an eighth of the memory. */
  readonly maxInputBytes: number;
  readonly skewMs: number;
  readonly leaseMs: number;
  readonly listen: ListenSettings;
  readonly horizonMs: number;
}

/** Settings of an entry. */
export interface EntrySettings extends CommonSettings {
  readonly maxAgents: number;
  readonly maxBodyBytes: number;
  readonly maxCallers: number;
  readonly maxActiveJobs: number;
  readonly maxHeldBytes: number;
  readonly heartbeatMs: number;
  readonly removeAfterMs: number;
  readonly takeoverAfterMs: number;
  readonly agentLostMs: number;
  readonly snapshotEvery: number;
  readonly ordering: 'remaining-work' | 'arrival';
  readonly placement: 'credits' | 'random';
  readonly admission: 'lateness' | 'full-table';
  readonly priorityStepMs: number;
  readonly ageWeight: number;
  /** Decrease of the lowest rank among waiting tasks that is reported to agents, ms. */
  readonly demandStepMs: number;
}

/** Settings of an agent. */
export interface AgentSettings extends CommonSettings {
  readonly upstreamUrl: string;
  readonly slots: number;
  readonly connections: number;
  readonly overcommit: number;
  readonly registrar: boolean;
  readonly maxJobs: number;
  readonly maxClaims: number;
  readonly maxAnswerBytes: number;
  /**
   * Rank difference at which a credit moves to another entry, ms; higher values save messages but react
   * later.
   */
  readonly stickinessMs: number;
  readonly requestTimeoutMs: number;
  readonly proposeRepeatMs: number;
}

/** Settings of the stand-in platform. */
export interface PlatformSettings {
  readonly host: string;
  readonly port: number;
  readonly retainRecords: number;
  readonly liveLagMs: number;
  readonly liveExpireMs: number;
  readonly appendMs: number;
}

/** Settings of the stand-in upstream. */
export interface UpstreamSettings {
  readonly host: string;
  readonly port: number;
  readonly slots: number;
  /** Factor on the duration of every task; 2 takes twice as long. */
  readonly speed: number;
}

/** Settings by role. */
export interface SettingsByRole {
  readonly entry: EntrySettings;
  readonly agent: AgentSettings;
  readonly platform: PlatformSettings;
  readonly upstream: UpstreamSettings;
}

/** A role with a settings file. */
export type Role = keyof SettingsByRole;
