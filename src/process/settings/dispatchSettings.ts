/** Settings of the daemons that serve jobs which live as long as their callers: dispatcher and executor. */
import type { LogLevel } from './logLevel.js';

/**
 * Ways to choose agents. `spread`: each task for itself; `grouped`: tasks of a job together where that costs little;
 * `home`: and first at agents that prefer this dispatcher.
 */
export type PlacementKind = 'spread' | 'grouped' | 'home';

/**
 * Ways to bound the starts on their way to agents. `open`: not at all; `loss`: by starts that expire; `delay`: by those,
 * and by echoes that come late.
 */
export type SendWindowKind = 'open' | 'loss' | 'delay';

/** Orders in which tasks wait. `deadline`: by the last moment to start in time; `fair`: and by shares of queues. */
export type TaskOrderKind = 'deadline' | 'fair';

/** When a job is refused. `patience`: by its own clock; `forecast`: also by what the room is expected to serve in time. */
export type AdmissionKind = 'patience' | 'forecast';

/** What an executor tells of its room. `open`: all of it to each dispatcher; `demand`: parts, by what waits at each. */
export type CapacitySharingKind = 'open' | 'demand';

/** How an executor measures its upstream's speed. `mean`: of all work; `median`: of tasks, which one long task does not move. */
export type SpeedMeasureKind = 'mean' | 'median';

/** Settings that both daemons share. Durations have their unit in the name. */
export interface DispatchSettings {
  readonly id: string;
  readonly failureDomain: string;
  /** All failure domains of the deployment, so that an evacuation of any other is told to be wrong; empty if not known. */
  readonly failureDomains: readonly string[];
  /** Service of the upstream beside an executor; empty if not known. */
  readonly service: string;
  /** IP address of the VM. */
  readonly address: string;
  /** IP address under which other daemons reach a dispatcher, where that is not `address`; empty if it is. */
  readonly advertisedAddress: string;
  /** Port of the links between daemons, the same on every VM. */
  readonly linkPort: number;
  /** VMs of some entries, `host:port`; only the host is used. Some may be gone. */
  readonly seeds: readonly string[];
  /**
   * Links of an executor to dispatchers while those that it has chosen live: one in each of three failure domains. Each
   * costs both sides 5.8 pings and echoes a second; with three in place of six a dispatcher of 11 and an executor of 65
   * took a fifth and a tenth less processor time, played side by side.
   */
  readonly maxLinks: number;
  /**
   * Number of dispatchers up to which an executor links to all of them: where there are few, each needs the room of all
   * executors to choose from, and links cost little.
   */
  readonly smallFleet: number;
  /** Where callers connect, `host:port`; only for the dispatcher. */
  readonly callerAddress: string;
  /** Where the balancer asks whether the process is ready, `host:port`; only for the dispatcher. */
  readonly readyAddress: string;
  /** Where upstreams report, `host:port`. */
  readonly controlAddress: string;
  /** Where the operators' configuration lies, `host:port`. */
  readonly storeAddress: string;
  /** Partitions of a topic on the store. */
  readonly storePartitions: number;
  /** Where metrics are served, `host:port`; empty for nowhere. */
  readonly metricsAddress: string;
  readonly logLevel: LogLevel;
  /** Whether each placement is logged, besides all that goes wrong. */
  readonly decisionLog: boolean;
  /** Time from the request to stop until the process is killed, s. */
  readonly graceSeconds: number;
  /** Longest lease that an upstream grants, ms. */
  readonly maxLeaseMs: number;
  /** Time that stopping a task takes at an upstream, ms. */
  readonly stopMs: number;
  /** Shortest time after which a caller that was cut off submits its job elsewhere, ms. */
  readonly resubmitMs: number;
  /** How much longer a task takes away from the rack that holds its data; 1 for no longer. */
  readonly farFactor: number;
  /** Bandwidth of the VM's link, Mbit/s. */
  readonly linkMbps: number;
  /** How a dispatcher orders what waits. */
  readonly taskOrder: TaskOrderKind;
  /** How a dispatcher decides what to refuse. */
  readonly admission: AdmissionKind;
  /** How an executor divides its room among dispatchers. */
  readonly roomSharing: CapacitySharingKind;
  /** How an executor measures the speed of its upstream. */
  readonly speedMeasure: SpeedMeasureKind;
  /** Upstreams that may crash under one task until its job is failed; 0 for any number. */
  readonly crashLimit: number;
  /** How a dispatcher chooses agents. */
  readonly placement: PlacementKind;
  /** How a dispatcher bounds what it has on its way to agents. */
  readonly sendWindow: SendWindowKind;
  /**
   * Connections of callers at once; further ones are closed. The default leaves a quarter of the 4,100 descriptors of
   * the smallest entry VM to links, the store and metrics.
   */
  readonly maxConnections: number;
  /** Jobs open at a dispatcher; further ones are refused. The default is what callers submit to one in 5 s at 840/s. */
  readonly maxOpenJobs: number;
  /** Bytes that open jobs may take, by estimate; the default is a fifth of the smallest dispatcher's heap of 160 MB. */
  readonly maxOpenBytes: number;
  /** Tasks of a job; the users' largest job has 1,800. */
  readonly maxJobTasks: number;
  /** Steps of a job; jobs of the users have a few. */
  readonly maxJobSteps: number;
}
