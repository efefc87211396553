/**
 * Model of a configuration change over links of limited bandwidth, on virtual time. The exchange and its rate limiter are
 * production code; pings, pongs and starts share the links.
 *
 * A link delivers messages in the order in which they were sent, so a large message delays all later ones.
 */
import type { PeerMessage } from '../../src/connection/peer/peerMessages.js';
import { createRandom } from '../../src/_lib/createRandom.js';
import type { PeerChannel } from '../../src/process/VersionExchange.js';
import { OperatorExchange } from '../../src/process/OperatorExchange.js';
import type { Configuration } from '../../src/version/configuration.js';
import { buildRoutes } from './buildRoutes.js';
import { FakeTimeline } from './FakeTimeline.js';

const PING_MS = 173;
/** One-way transit time of a message, ms. */
const TRANSIT_MS = 0.5;
const LINKS = 3;
/** Bytes of a ping or a pong, and of a start. */
const PING_BYTES = 200;
const START_BYTES = 1_500;
/** Share of a dispatcher's bandwidth that starts use, and the most starts per second. */
const START_SHARE = 0.3;
const MAX_STARTS_PER_S = 300;
/** Time within which every dispatcher reads a change from the store, ms. */
const STORE_MS = 250;
const LIMITS = { maxBodyBytes: 1_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 };

/** Parameters of a run. */
export interface ConfigurationScenario {
  /** Bandwidth of each VM's link, Mbit/s. */
  readonly mbps: number;
  readonly dispatchers: number;
  readonly executors: number;
  readonly routes: number;
  /** Times at which the operators write a new version, ms; the first version exists from the start. */
  readonly changes: readonly number[];
  /** Longest duration of the run, ms. */
  readonly untilMs: number;
  readonly seed: number;
}

/** Results of a run. */
export interface ConfigurationOutcome {
  /** Largest delay of a start or pong beyond its transmission time on an idle link, ms. */
  readonly lateMs: number;
  /** When the last executor had the services, and all, of the newest version, ms; infinite if never. */
  readonly servicesMs: number;
  readonly wholeMs: number;
  /** Bytes of all configuration messages. */
  readonly bytes: number;
}

/** Link of a VM with one outgoing and one incoming queue. */
class ModelLink {
  private leavesAt = 0;
  private arrivesAt = 0;

  constructor(
    private readonly mbps: number,
    private readonly time: FakeTimeline,
  ) {}

  /** Sends bytes to another VM. */
  send(bytes: number, to: ModelLink, arrive: () => void): void {
    const now = this.time.now();
    this.leavesAt = Math.max(now, this.leavesAt) + this.computeTransmissionMs(bytes);
    this.time.schedule(this.leavesAt + TRANSIT_MS - now, () => to.receive(bytes, arrive));
  }

  /** Transmission time on an idle link, ms. */
  computeTransmissionMs(bytes: number): number {
    return (bytes * 8) / (this.mbps * 1_000);
  }

  /** Receives bytes; arrival overlaps with sending, so only earlier arrivals cause a delay. */
  private receive(bytes: number, arrive: () => void): void {
    const now = this.time.now();
    this.arrivesAt = Math.max(now, this.arrivesAt + this.computeTransmissionMs(bytes));
    this.time.schedule(this.arrivesAt - now, arrive);
  }
}

interface ModelNode {
  readonly link: ModelLink;
  readonly exchange: OperatorExchange;
}

/** Deployment of dispatchers and executors. */
class ConfigurationModel {
  readonly time = new FakeTimeline();
  readonly executors: ModelNode[] = [];
  lateMs = 0;
  bytes = 0;
  servicesMs = Infinity;
  private readonly dispatchers: ModelNode[] = [];
  private readonly sizes = new WeakMap<object, number>();
  private readonly nextRandom: () => number;

  constructor(private readonly scenario: ConfigurationScenario) {
    this.nextRandom = createRandom(scenario.seed);
    for (let at = 0; at < scenario.dispatchers; at += 1) this.dispatchers.push(this.createNode(true));
    for (let at = 0; at < scenario.executors; at += 1) this.executors.push(this.createNode(false));
    this.executors.forEach((executor, at) => this.linkExecutor(executor, at));
    this.startTraffic();
    for (const { exchange } of [...this.dispatchers, ...this.executors])
      exchange.adoptEmptied({ revision: 0, domains: [] }, 'store');
    scenario.changes.forEach((at, index) => this.scheduleChange(at, index + 2));
  }

  get newest(): number {
    return this.scenario.changes.length + 1;
  }

  private createNode(usesRoutes: boolean): ModelNode {
    const events = { changeConfiguration: () => undefined, changeEmptied: () => undefined };
    const { time: timeline, nextRandom } = this;
    const options = { usesRoutes, linkMbps: this.scenario.mbps, timeline, nextRandom };
    const exchange = new OperatorExchange(events, options);
    exchange.adoptConfiguration(buildConfiguration(1, 10), 'store');
    return { link: new ModelLink(this.scenario.mbps, this.time), exchange };
  }

  private linkExecutor(executor: ModelNode, at: number): void {
    const step = 1 + Math.floor(this.nextRandom() * 2);
    for (let link = 0; link < LINKS; link += 1) {
      const dispatcher = this.dispatchers[(at + link * step) % this.scenario.dispatchers] as ModelNode;
      const forth: PeerChannel = { send: (message) => this.sendMessage(executor, dispatcher, message, back) };
      const back: PeerChannel = { send: (message) => this.sendMessage(dispatcher, executor, message, forth) };
      this.time.schedule(this.nextRandom() * PING_MS, () => this.ping(executor, dispatcher, forth, back));
    }
  }

  private ping(executor: ModelNode, dispatcher: ModelNode, forth: PeerChannel, back: PeerChannel): void {
    const at = this.time.now();
    const { versions } = executor.exchange;
    const tookMs = 2 * (TRANSIT_MS + executor.link.computeTransmissionMs(PING_BYTES));
    executor.link.send(PING_BYTES, dispatcher.link, () => {
      dispatcher.exchange.compareVersions(versions, back, this.time.now());
      const reported = dispatcher.exchange.versions;
      dispatcher.link.send(PING_BYTES, executor.link, () => {
        this.recordDelay(this.time.now() - at - tookMs);
        executor.exchange.compareVersions(reported, forth, this.time.now());
      });
    });
    this.time.schedule(PING_MS, () => this.ping(executor, dispatcher, forth, back));
  }

  private startTraffic(): void {
    const { mbps } = this.scenario;
    const perSecond = Math.min(MAX_STARTS_PER_S, (mbps * 1_000_000 * START_SHARE) / (START_BYTES * 8));
    for (const dispatcher of this.dispatchers) this.sendNextStart(dispatcher, 1_000 / perSecond);
  }

  private sendNextStart(dispatcher: ModelNode, everyMs: number): void {
    const to = this.executors[Math.floor(this.nextRandom() * this.executors.length)] as ModelNode;
    const at = this.time.now();
    const tookMs = TRANSIT_MS + dispatcher.link.computeTransmissionMs(START_BYTES);
    dispatcher.link.send(START_BYTES, to.link, () => this.recordDelay(this.time.now() - at - tookMs));
    this.time.schedule(everyMs * (0.5 + this.nextRandom()), () => this.sendNextStart(dispatcher, everyMs));
  }

  private scheduleChange(at: number, version: number): void {
    const configuration = buildConfiguration(version, this.scenario.routes);
    for (const { exchange } of this.dispatchers) {
      const readAt = at + this.nextRandom() * STORE_MS;
      this.time.schedule(readAt, () => exchange.adoptConfiguration(configuration, 'store'));
    }
  }

  private sendMessage(from: ModelNode, to: ModelNode, message: PeerMessage, answer: PeerChannel): void {
    const bytes = this.countBytes(message);
    this.bytes += bytes;
    from.link.send(bytes, to.link, () => to.exchange.receive(message, answer));
  }

  private countBytes(message: PeerMessage): number {
    if (message.type !== 'configuration') return JSON.stringify(message).length;
    const known = this.sizes.get(message.configuration);
    if (known !== undefined) return known;
    const bytes = JSON.stringify(message).length;
    this.sizes.set(message.configuration, bytes);
    return bytes;
  }

  private recordDelay(ms: number): void {
    this.lateMs = Math.max(this.lateMs, ms);
  }
}

/**
 * Simulates configuration changes.
 *
 * @param scenario - links, processes and changes
 * @returns delay of other messages, and when all executors were up to date
 */
export function runConfigurationChange(scenario: ConfigurationScenario): ConfigurationOutcome {
  const model = new ConfigurationModel(scenario);
  const { newest, time, executors } = model;
  const name = `service-of-${newest}`;
  let behind = executors.length;
  let unaware = executors.length;
  time.runUntil(scenario.untilMs, () => {
    // Only the last executor to be updated matters, so each one is checked until it is up to date.
    while (unaware > 0 && executors[unaware - 1]?.exchange.services?.has(name)) unaware -= 1;
    if (unaware === 0 && model.servicesMs === Infinity) model.servicesMs = time.now();
    while (behind > 0 && executors[behind - 1]?.exchange.versions.version === newest) behind -= 1;
    return behind === 0 && scenario.changes.length > 0;
  });
  const wholeMs = behind === 0 ? time.now() : Infinity;
  return { lateMs: model.lateMs, servicesMs: model.servicesMs, wholeMs, bytes: model.bytes };
}

function buildConfiguration(version: number, routes: number): Configuration {
  return { version, routes: buildRoutes(routes, version), limits: LIMITS };
}
