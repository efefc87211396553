/**
 * Replicates the configuration between processes. Both sides of a link report their version with each ping
 * and pong. The side that is behind requests a summary, which is small and lists the services, and then
 * fetches the encoded text in pieces, at a limited rate that leaves bandwidth for other messages.
 *
 * A process that does not use routes stores only the encoded text, to forward it. It delays the fetch until
 * no newer version has appeared for a while.
 */
import type { Timeline } from '../_lib/Timeline.js';
import type {
  ConfigurationPiece,
  ConfigurationRequest,
  ConfigurationSummary,
  PeerMessage,
} from '../connection/peer/peerMessages.js';
import {
  checkEncodedConfiguration,
  decodeConfiguration,
  encodeConfiguration,
} from '../connection/peer/encodedConfiguration.js';
import type { Configuration } from '../version/configuration.js';
import { listServices } from '../version/listServices.js';
import type { PeerChannel } from './VersionExchange.js';
import { PieceRateLimiter } from './PieceRateLimiter.js';
import { PieceReceiver } from './PieceReceiver.js';
import { PieceSender } from './PieceSender.js';
import type { SizedMessage } from './PieceSender.js';

/** Initial and longest interval between summary requests, ms; it doubles until a useful summary arrives. */
const REQUEST_RETRY_MS = 150;
const MAX_REQUEST_RETRY_MS = 5_000;
/**
 * Time without a piece after which another peer is used, ms. Processes that use the routes are served first,
 * so they time out earlier; the others may wait in a long queue. A lost peer is detected by its link.
 */
const URGENT_PIECE_TIMEOUT_MS = 1_000;
const PIECE_TIMEOUT_MS = 10_000;
/** Time for which a peer that sent an invalid text is not used, ms. */
const INVALID_TEXT_AVOID_MS = 10_000;
/**
 * Time for which a stalled peer is not used, ms; below `VERSION_EXPIRY_MS`, so that received pieces are kept.
 */
const STALL_AVOID_MS = 2_000;
/**
 * Time after which a version that no peer reports is abandoned, ms; peers may hold an earlier version that is
 * still newer than the held one.
 */
const VERSION_EXPIRY_MS = 5_000;
/**
 * Delay before a process that uses no routes, and already holds a version, fetches the text, ms. Up to the
 * same amount is added at random, and each newer version restarts the delay, up to the maximum.
 */
const FETCH_DELAY_MS = 1_000;
const MAX_FETCH_DELAY_MS = 10_000;
/** Longest encoded text that is fetched without this delay, characters; the length of the longest piece. */
const MAX_UNDELAYED_LENGTH = 8_192;
/** Longest list of services in a summary, characters; a longer list is read from the text. */
const MAX_SERVICES_LENGTH = 1_024;

/** Version reported by a process without a configuration. */
const NO_VERSION = -1;

/** Options of a configuration exchange. */
export interface ExchangeOptions {
  /** Whether the process needs the routes; otherwise only the encoded text is stored. */
  readonly usesRoutes: boolean;
  /** Bandwidth of the VM's link, Mbit/s. */
  readonly linkMbps: number;
  readonly timeline: Timeline;
  /** Returns a random number from 0 to 1. */
  readonly nextRandom: () => number;
}

/** Events of a configuration exchange. */
export interface ExchangeEvents {
  /** A version was received completely from a peer. */
  readonly handleAdopted: (version: number, before: number) => void;
  /** The services of a version are known; its text may follow later. */
  readonly recordServices: (version: number, count: number) => void;
  /** A version could not be fetched, sent or decoded. */
  readonly recordFault: (version: number, problem: string) => void;
}

/** A complete version, as a configuration, encoded text or both. */
interface HeldVersion {
  readonly version: number;
  readonly configuration: Configuration | undefined;
  text: string | undefined;
  /** Summary for peers, built on first use. */
  summary?: ConfigurationSummary;
}

/** Holds the newest configuration of a process and exchanges it with peers. */
export class ConfigurationExchange {
  private held: HeldVersion | undefined;
  private known: { readonly version: number; readonly services: ReadonlySet<string> } | undefined;
  /** Newest version that is not held yet, and when a peer last reported it, ms. */
  private wanted: { readonly version: number; reportedAt: number } | undefined;
  private readonly sender: PieceSender;
  private readonly receiver: PieceReceiver;
  private readonly rateLimiter: PieceRateLimiter;
  private readonly avoidedUntil = new WeakMap<PeerChannel, number>();
  private requestedPeer: PeerChannel | undefined;
  private requestedAt = -Infinity;
  private requestRetryMs = REQUEST_RETRY_MS;
  /** When a version newer than the held one was first reported, ms. */
  private behindSince: number | undefined;
  private fetchAfter = -Infinity;

  constructor(
    private readonly options: ExchangeOptions,
    private readonly events: ExchangeEvents,
  ) {
    const { usesRoutes, linkMbps, timeline } = options;
    this.rateLimiter = new PieceRateLimiter(linkMbps);
    this.sender = new PieceSender(this.rateLimiter, timeline);
    const pieceTimeoutMs = usesRoutes ? URGENT_PIECE_TIMEOUT_MS : PIECE_TIMEOUT_MS;
    this.receiver = new PieceReceiver({ isUrgent: usesRoutes, pieceTimeoutMs }, this.rateLimiter, timeline, {
      finish: (version, text, channel) => this.receiveText(version, text, channel),
      handleStalled: (version, channel) =>
        this.recordFault(channel, version, 'sends nothing', STALL_AVOID_MS),
    });
  }

  /** Newest configuration; undefined before the first, and where only the text is stored. */
  get newest(): Configuration | undefined {
    return this.held?.configuration;
  }

  /** Newest complete version, which can be sent to peers; -1 before the first. */
  get version(): number {
    return this.held?.version ?? NO_VERSION;
  }

  /** Services of the newest known version, complete or not; undefined before the first. */
  get services(): ReadonlySet<string> | undefined {
    return this.known?.services;
  }

  /**
   * Adopts a configuration if it is newer than the held one.
   *
   * @returns whether it was adopted
   */
  adopt(configuration: Configuration): boolean {
    const { version } = configuration;
    if (version <= this.version) return false;
    const { usesRoutes } = this.options;
    const text = usesRoutes ? undefined : encodeConfiguration(configuration);
    this.storeVersion({ version, configuration: usesRoutes ? configuration : undefined, text });
    this.recordServices(version, listServices(configuration));
    return true;
  }

  /** Requests the summary or text of the version that a peer reports, if it is newer and none is pending. */
  compareVersion(version: number, channel: PeerChannel, now: number): void {
    if (version <= this.version || now < (this.avoidedUntil.get(channel) ?? -Infinity)) return;
    const { wanted } = this;
    if (wanted && now - wanted.reportedAt > VERSION_EXPIRY_MS) return this.dropWanted(wanted.version);
    if (!wanted || version > wanted.version) return this.requestSummary(channel, now);
    if (version < wanted.version) return;
    wanted.reportedAt = now;
    if (now >= this.fetchAfter) this.receiver.offer(channel, now);
  }

  /** Sends the summary of the held version to a peer, which fetches the text if its own is earlier. */
  sendVersion(channel: PeerChannel): void {
    if (this.held) channel.send(this.readSummary(this.held));
  }

  /** Handles a peer's request for the summary, the whole configuration or a piece of its text. */
  handleRequest(request: ConfigurationRequest, channel: PeerChannel): void {
    if (!this.held) return;
    const isUrgent = request.isUrgent === true;
    if (request.position === undefined) return this.sender.add(channel, isUrgent, () => this.buildWhole());
    if (request.version !== this.held.version) return this.sendVersion(channel);
    this.sender.add(channel, isUrgent, () => this.buildPiece(request));
  }

  /** Handles a summary; its services apply before the text arrives. */
  handleSummary({ version, services, length }: ConfigurationSummary, channel: PeerChannel): void {
    const now = this.options.timeline.now();
    const { wanted } = this;
    if (version <= this.version || (wanted && version < wanted.version)) return this.receiver.drop(channel);
    this.resetRequest();
    if (services) this.recordServices(version, new Set(services));
    if (!wanted || version > wanted.version) this.startFetch(version, length, now);
    else wanted.reportedAt = now;
    this.compareVersion(version, channel, now);
  }

  /** Handles a piece of the version being fetched. */
  handlePiece(piece: ConfigurationPiece, channel: PeerChannel): void {
    if (this.wanted && piece.version === this.wanted.version)
      this.wanted.reportedAt = this.options.timeline.now();
    this.receiver.receive(piece, channel);
  }

  /** Handles a closed link; pending requests go to another peer. */
  handleClosed(channel: PeerChannel): void {
    this.sender.drop(channel);
    this.receiver.drop(channel);
    if (this.requestedPeer === channel) this.requestedAt = -Infinity;
  }

  private requestSummary(channel: PeerChannel, now: number): void {
    if (now - this.requestedAt < this.requestRetryMs) return;
    if (this.requestedAt !== -Infinity)
      this.requestRetryMs = Math.min(MAX_REQUEST_RETRY_MS, this.requestRetryMs * 2);
    this.requestedPeer = channel;
    this.requestedAt = now;
    channel.send({ type: 'configuration-request', position: 0, isUrgent: this.options.usesRoutes });
  }

  private resetRequest(): void {
    this.requestedPeer = undefined;
    this.requestedAt = -Infinity;
    this.requestRetryMs = REQUEST_RETRY_MS;
  }

  /** Starts to fetch a newer version, and abandons the transfer of an earlier one. */
  private startFetch(version: number, length: number | undefined, now: number): void {
    this.wanted = { version, reportedAt: now };
    this.receiver.setVersion(version);
    this.behindSince ??= now;
    if (this.options.usesRoutes || !this.held) return;
    if (length !== undefined && length <= MAX_UNDELAYED_LENGTH) return;
    const delayMs = FETCH_DELAY_MS * (1 + this.options.nextRandom());
    this.fetchAfter = Math.min(now + delayMs, Math.max(now, this.behindSince + MAX_FETCH_DELAY_MS));
  }

  private dropWanted(version: number): void {
    this.wanted = undefined;
    this.receiver.setVersion(NO_VERSION);
    this.resetRequest();
    this.events.recordFault(version, 'no peer has it any more');
  }

  private storeVersion(held: HeldVersion): void {
    this.held = held;
    this.resetRequest();
    if (this.wanted && this.wanted.version > held.version) return;
    this.wanted = undefined;
    this.behindSince = undefined;
    this.receiver.setVersion(NO_VERSION);
  }

  private recordServices(version: number, services: ReadonlySet<string>): void {
    if (this.known && version <= this.known.version) return;
    this.known = { version, services };
    this.events.recordServices(version, services.size);
  }

  private receiveText(version: number, text: string, channel: PeerChannel): void {
    const before = this.version;
    const problem = this.options.usesRoutes ? this.storeRoutes(version, text) : this.storeText(version, text);
    if (problem !== '') return this.recordFault(channel, version, problem);
    this.events.handleAdopted(version, before);
  }

  /** @returns what is wrong with the text; empty for nothing */
  private storeRoutes(version: number, text: string): string {
    const decoded = decodeConfiguration(text);
    if (!decoded.ok) return decoded.problem;
    const { configuration } = decoded;
    if (configuration.version !== version) return `is of version ${configuration.version}`;
    this.storeVersion({
      version,
      configuration: this.options.usesRoutes ? configuration : undefined,
      text,
    });
    this.recordServices(version, listServices(configuration));
    return '';
  }

  /** @returns what is wrong with the text; empty for nothing */
  private storeText(version: number, text: string): string {
    if (this.known?.version !== version) return this.storeRoutes(version, text);
    const problem = checkEncodedConfiguration(text);
    if (problem === '') this.storeVersion({ version, configuration: undefined, text });
    return problem;
  }

  private recordFault(
    channel: PeerChannel,
    version: number,
    problem: string,
    avoidMs = INVALID_TEXT_AVOID_MS,
  ): void {
    this.avoidedUntil.set(channel, this.options.timeline.now() + avoidMs);
    this.events.recordFault(version, problem);
  }

  private readSummary(held: HeldVersion): ConfigurationSummary {
    held.summary ??= this.buildSummary(held);
    return held.summary;
  }

  private buildSummary(held: HeldVersion): ConfigurationSummary {
    const { version } = held;
    const { length } = this.readText(held);
    const services = this.known?.version === version ? [...this.known.services] : undefined;
    const isShort = services !== undefined && JSON.stringify(services).length <= MAX_SERVICES_LENGTH;
    return { type: 'configuration-summary', version, services: isShort ? services : undefined, length };
  }

  private buildPiece({ version, position = 0, length = Infinity }: ConfigurationRequest): SizedMessage {
    const held = this.held as HeldVersion;
    if (held.version !== version) return measureMessage(this.readSummary(held));
    const text = this.readText(held);
    const end = position + Math.min(length, this.rateLimiter.pieceLength);
    const piece = text.slice(position, end);
    const message = { type: 'configuration-piece', version, position, length: text.length } as const;
    return { message: { ...message, text: piece }, length: piece.length };
  }

  /** Builds the whole configuration for a peer of an earlier version, which does not support pieces. */
  private buildWhole(): SizedMessage | undefined {
    const held = this.held as HeldVersion;
    const decoded = held.configuration
      ? { ok: true as const, configuration: held.configuration }
      : decodeConfiguration(this.readText(held));
    if (decoded.ok) return measureMessage({ type: 'configuration', configuration: decoded.configuration });
    this.events.recordFault(held.version, decoded.problem);
    return undefined;
  }

  /** Returns the text of a version, encoding it on first use. */
  private readText(held: HeldVersion): string {
    if (held.text === undefined && held.configuration) held.text = encodeConfiguration(held.configuration);
    return held.text ?? '';
  }
}

function measureMessage(message: PeerMessage): SizedMessage {
  return { message, length: JSON.stringify(message).length };
}
