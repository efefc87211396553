/** Settings of dispatcher and executor. */
import type { LogLevel } from './logLevel.js';

/**
 * How executors are selected. `spread`: for each task separately; `grouped`: tasks of a job together where
 * that costs little; `home`: grouped, and executors that prefer this dispatcher first.
 */
export type PlacementKind = 'spread' | 'grouped' | 'home';

/**
 * How the number of starts in flight to executors is limited. `open`: unlimited; `loss`: by expired starts;
 * `delay`: by expired starts and late pongs.
 */
export type SendWindowKind = 'open' | 'loss' | 'delay';

/**
 * Order of waiting tasks. `deadline`: by the latest start that meets the deadline; `fair`: also by queue
 * shares.
 */
export type TaskOrderKind = 'deadline' | 'fair';

/**
 * When a job is refused. `patience`: by its caller timeout; `forecast`: also by the capacity expected until
 * then.
 */
export type AdmissionKind = 'patience' | 'forecast';

/**
 * How an executor shares its capacity. `open`: all of it reported to each dispatcher; `demand`: shares by
 * demand.
 */
export type CapacitySharingKind = 'open' | 'demand';

/**
 * How an upstream's speed is measured. `mean`: over all work; `median`: over tasks, robust against one long
 * task.
 */
export type SpeedMeasureKind = 'mean' | 'median';

/** Settings of both daemons. The names of durations contain their unit. */
export interface DispatchSettings {
  readonly id: string;
  readonly failureDomain: string;
  /** All failure domains of the deployment, to reject evacuations of unknown ones; empty if not known. */
  readonly failureDomains: readonly string[];
  /** Service of the upstream beside an executor; empty if not known. */
  readonly service: string;
  /** IP address of the VM. */
  readonly address: string;
  /** IP address at which other daemons reach a dispatcher, if it differs from `address`; else empty. */
  readonly advertisedAddress: string;
  /** Port of the links between daemons, the same on every VM. */
  readonly linkPort: number;
  /** VMs of some dispatchers, `host:port`; only the host is used. Some may no longer exist. */
  readonly seeds: readonly string[];
  /**
   * Links of an executor to dispatchers, spread over failure domains, where there are more dispatchers than
   * `smallFleet`; up to twice as many while some of them are unresponsive. By default a link costs both sides
   * 5.8 pings and pongs a second.
   */
  readonly maxLinks: number;
  /**
   * Largest number of dispatchers at which an executor links to all of them, so that each can use its
   * capacity; so few links cost little.
   */
  readonly smallFleet: number;
  /** Address for callers, `host:port`; dispatcher only. */
  readonly callerAddress: string;
  /** Address of the load balancer's readiness check, `host:port`; dispatcher only. */
  readonly readyAddress: string;
  /** Address for reports of upstreams, `host:port`. */
  readonly controlAddress: string;
  /** Address of the store of the operators' configuration, `host:port`. */
  readonly storeAddress: string;
  /** Partitions of each topic on the store. */
  readonly storePartitions: number;
  /** Address for metrics, `host:port`; empty to disable them. */
  readonly metricsAddress: string;
  readonly logLevel: LogLevel;
  /** Whether a dispatcher logs placements, at a limited rate; other events are not affected. */
  readonly decisionLog: boolean;
  /** Time from a stop request until the process is killed, s. */
  readonly graceSeconds: number;
  /** Longest lease that an upstream grants, ms. */
  readonly maxLeaseMs: number;
  /** Time that an upstream needs to stop a task, ms. */
  readonly stopMs: number;
  /** Shortest time after which a disconnected caller resubmits its job elsewhere, ms. */
  readonly resubmitMs: number;
  /** How long a cancelled job is remembered, so that no submission of it is run, s. */
  readonly cancelledSeconds: number;
  /** Factor by which a task takes longer outside the rack that holds its data; 1 for no difference. */
  readonly farFactor: number;
  /** Memory of the VM, MiB; an eighth is for input of clients that are not admitted. */
  readonly memoryMb: number;
  /**
   * Descriptors that the process may open. Of those that are left for sockets, two thirds are for clients and a
   * quarter is for links; the store and upstreams keep the rest.
   */
  readonly maxDescriptors: number;
  /** Most memory of input of clients that are not admitted, bytes; 0 for an eighth of the memory. */
  readonly maxInputBytes: number;
  /** Bandwidth of the VM's link, Mbit/s. */
  readonly linkMbps: number;
  /** How a dispatcher orders waiting tasks. */
  readonly taskOrder: TaskOrderKind;
  /** How a dispatcher decides which jobs to refuse. */
  readonly admission: AdmissionKind;
  /** How an executor divides its capacity among dispatchers. */
  readonly roomSharing: CapacitySharingKind;
  /** How an executor measures the speed of its upstream. */
  readonly speedMeasure: SpeedMeasureKind;
  /** Number of upstream crashes under one task after which its job fails; 0 for no limit. */
  readonly crashLimit: number;
  /** How a dispatcher selects executors. */
  readonly placement: PlacementKind;
  /** How a dispatcher limits the starts in flight to executors. */
  readonly sendWindow: SendWindowKind;
  /**
   * Most connections of callers; for a further one an idle one is closed. All listeners together get two thirds
   * of the descriptors for sockets.
   */
  readonly maxConnections: number;
  /**
   * Most open jobs of a dispatcher; further ones are refused. The default is about what arrives in 5 s at 840
   * jobs/s.
   */
  readonly maxOpenJobs: number;
  /**
   * Most memory of all open jobs, estimated, bytes; further jobs are refused. The default is a fifth of a
   * heap of 160 MB.
   */
  readonly maxOpenBytes: number;
  /** Most tasks of a job; the largest expected jobs have 1,800. */
  readonly maxJobTasks: number;
  /** Most steps of a job; jobs usually have a few. */
  readonly maxJobSteps: number;
}
