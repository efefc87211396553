/**
 * Keeps the newest configuration of one process, and brings peers up to date. Both sides of a link tell the version that
 * they hold with each ping and echo. The one that is behind first asks for a summary, which is small and tells the
 * services at once, and then fetches the packed text piece by piece, at a pace that leaves the links to other messages.
 *
 * A process that uses no routes keeps the packed text only, to pass it on: it fetches it last, once the operators have
 * written nothing new for a while.
 */
import type { Timeline } from '../_lib/Timeline.js';
import type {
  ConfigurationPiece,
  ConfigurationRequest,
  ConfigurationSummary,
  PeerMessage,
} from '../connection/peer/peerMessages.js';
import {
  checkPacked,
  decodeConfiguration,
  encodeConfiguration,
} from '../connection/peer/packedConfiguration.js';
import type { Configuration } from '../version/configuration.js';
import { listServices } from '../version/listServices.js';
import type { PeerChannel } from './NewestExchange.js';
import { PieceRateLimiter } from './PieceRateLimiter.js';
import { PieceReceiver } from './PieceReceiver.js';
import { PieceSender } from './PieceSender.js';
import type { SizedMessage } from './PieceSender.js';

/** Time after which another peer is asked for a summary, ms; it doubles up to the longest while no answer is of use. */
const ASK_AGAIN_MS = 150;
const LAST_ASK_AGAIN_MS = 5_000;
/**
 * Time without a piece after which another peer is asked, ms: of a process that cannot serve without it, which is served
 * first, and of others, whose turn comes late where many ask. A peer that is dead or cut off is known by its link.
 */
const URGENT_PATIENCE_MS = 1_000;
const PATIENCE_MS = 10_000;
/** A peer whose text does not unpack is not asked again for so long, ms. */
const AVOID_MS = 10_000;
/** The same for one that sent nothing for a while, ms: less than `FORGET_MS`, so that what has come is kept. */
const STALLED_MS = 2_000;
/** A version that no peer tells any more is not waited for, ms: peers may hold an earlier one that is news here. */
const FORGET_MS = 5_000;
/**
 * Time without a newer version after which a process that uses no routes, and holds a version, fetches the text, ms, to
 * which up to as much is added at random; and the longest for which it puts that off.
 */
const SETTLE_MS = 1_000;
const LAST_SETTLE_MS = 10_000;
/** Longest packed text that is fetched without that wait, characters: it is one piece. */
const SHORT_LENGTH = 8_192;
/** Longest list of services in a summary, characters; a longer one is read from the text. */
const MAX_SERVICES_LENGTH = 1_024;

/** Version that a process tells which holds none. */
const NO_VERSION = -1;

/** Who exchanges, and over what. */
export interface ExchangeOptions {
  /** Whether the process needs the routes; one that does not keeps the packed text only. */
  readonly usesRoutes: boolean;
  /** Bandwidth of the VM's link, Mbit/s. */
  readonly linkMbps: number;
  readonly timeline: Timeline;
  /** From 0 to 1. */
  readonly nextRandom: () => number;
}

/** What the exchange tells its process. */
export interface ExchangeEvents {
  /** A version has come whole from a peer, and is held now. */
  readonly noteAdopted: (version: number, before: number) => void;
  /** The services of a version are known, before or with its text. */
  readonly noteServices: (version: number, count: number) => void;
  /** A peer was of no use: its text does not unpack, or it sends none. */
  readonly noteFault: (version: number, problem: string) => void;
}

/** A version that is held whole, in one form or both. */
interface HeldVersion {
  readonly version: number;
  readonly configuration: Configuration | undefined;
  text: string | undefined;
  /** What peers are told of it, built when it is first told. */
  summary?: ConfigurationSummary;
}

/** Newest configuration of one process. */
export class ConfigurationExchange {
  private held: HeldVersion | undefined;
  private known: { readonly version: number; readonly services: ReadonlySet<string> } | undefined;
  /** Newest version that is not held yet, and when a peer told last that it has it, ms. */
  private wanted: { readonly version: number; toldAt: number } | undefined;
  private readonly sender: PieceSender;
  private readonly receiver: PieceReceiver;
  private readonly pace: PieceRateLimiter;
  private readonly avoidedUntil = new WeakMap<PeerChannel, number>();
  private asked: PeerChannel | undefined;
  private askedAt = -Infinity;
  private askAgainMs = ASK_AGAIN_MS;
  /** Since when a newer version is known than is held, ms. */
  private behindSince: number | undefined;
  private fetchFrom = -Infinity;

  constructor(
    private readonly options: ExchangeOptions,
    private readonly events: ExchangeEvents,
  ) {
    const { usesRoutes, linkMbps, timeline } = options;
    this.pace = new PieceRateLimiter(linkMbps);
    this.sender = new PieceSender(this.pace, timeline);
    const patienceMs = usesRoutes ? URGENT_PATIENCE_MS : PATIENCE_MS;
    this.receiver = new PieceReceiver({ isUrgent: usesRoutes, patienceMs }, this.pace, timeline, {
      finish: (version, text, channel) => this.takeText(version, text, channel),
      noteStalled: (version, channel) => this.noteFault(channel, version, 'sends nothing', STALLED_MS),
    });
  }

  /** What is held in the form that is used; undefined before the first, and where only the text is kept. */
  get newest(): Configuration | undefined {
    return this.held?.configuration;
  }

  /** Version that is held whole, so that it can be passed on; -1 before the first. */
  get version(): number {
    return this.held?.version ?? NO_VERSION;
  }

  /** Services of the newest version that is known, held or not; undefined before the first. */
  get services(): ReadonlySet<string> | undefined {
    return this.known?.services;
  }

  /**
   * Takes a version if it is newer: a process never goes back.
   *
   * @returns whether it is the newest now
   */
  adopt(configuration: Configuration): boolean {
    const { version } = configuration;
    if (version <= this.version) return false;
    const { usesRoutes } = this.options;
    const text = usesRoutes ? undefined : encodeConfiguration(configuration);
    this.keepVersion({ version, configuration: usesRoutes ? configuration : undefined, text });
    this.noteServices(version, listServices(configuration));
    return true;
  }

  /** A peer has told its version: asks for what is newer there, unless another peer was asked just now. */
  compareVersion(version: number, channel: PeerChannel, now: number): void {
    if (version <= this.version || now < (this.avoidedUntil.get(channel) ?? -Infinity)) return;
    const { wanted } = this;
    if (wanted && now - wanted.toldAt > FORGET_MS) return this.dropWanted(wanted.version);
    if (!wanted || version > wanted.version) return this.askSummary(channel, now);
    if (version < wanted.version) return;
    wanted.toldAt = now;
    if (now >= this.fetchFrom) this.receiver.offer(channel, now);
  }

  /** Tells a peer which version is held; it asks for more if that is news there. */
  sendVersion(channel: PeerChannel): void {
    if (this.held) channel.send(this.readSummary(this.held));
  }

  /** Answers a peer that asks. */
  answer(request: ConfigurationRequest, channel: PeerChannel): void {
    if (!this.held) return;
    const isUrgent = request.isUrgent === true;
    if (request.position === undefined) return this.sender.add(channel, isUrgent, () => this.buildWhole());
    if (request.version !== this.held.version) return this.sendVersion(channel);
    this.sender.add(channel, isUrgent, () => this.buildPiece(request));
  }

  /** Takes a summary: what it tells of services holds at once. */
  takeSummary({ version, services, length }: ConfigurationSummary, channel: PeerChannel): void {
    const now = this.options.timeline.now();
    const { wanted } = this;
    if (version <= this.version || (wanted && version < wanted.version)) return this.receiver.drop(channel);
    this.noteAnswered();
    if (services) this.noteServices(version, new Set(services));
    if (!wanted || version > wanted.version) this.pursue(version, length, now);
    else wanted.toldAt = now;
    this.compareVersion(version, channel, now);
  }

  /** Takes a piece of the version that is fetched. */
  takePiece(piece: ConfigurationPiece, channel: PeerChannel): void {
    if (this.wanted && piece.version === this.wanted.version)
      this.wanted.toldAt = this.options.timeline.now();
    this.receiver.receive(piece, channel);
  }

  /** A peer is gone: what it was asked for is asked of another one. */
  handleClosed(channel: PeerChannel): void {
    this.sender.drop(channel);
    this.receiver.drop(channel);
    if (this.asked === channel) this.askedAt = -Infinity;
  }

  private askSummary(channel: PeerChannel, now: number): void {
    if (now - this.askedAt < this.askAgainMs) return;
    if (this.askedAt !== -Infinity) this.askAgainMs = Math.min(LAST_ASK_AGAIN_MS, this.askAgainMs * 2);
    this.asked = channel;
    this.askedAt = now;
    channel.send({ type: 'configuration-request', position: 0, isUrgent: this.options.usesRoutes });
  }

  private noteAnswered(): void {
    this.asked = undefined;
    this.askedAt = -Infinity;
    this.askAgainMs = ASK_AGAIN_MS;
  }

  /** A newer version is there: a transfer of an earlier one is given up. */
  private pursue(version: number, length: number | undefined, now: number): void {
    this.wanted = { version, toldAt: now };
    this.receiver.replace(version);
    this.behindSince ??= now;
    if (this.options.usesRoutes || !this.held) return;
    if (length !== undefined && length <= SHORT_LENGTH) return;
    const settleMs = SETTLE_MS * (1 + this.options.nextRandom());
    this.fetchFrom = Math.min(now + settleMs, Math.max(now, this.behindSince + LAST_SETTLE_MS));
  }

  private dropWanted(version: number): void {
    this.wanted = undefined;
    this.receiver.replace(NO_VERSION);
    this.noteAnswered();
    this.events.noteFault(version, 'no peer has it any more');
  }

  private keepVersion(held: HeldVersion): void {
    this.held = held;
    this.noteAnswered();
    if (this.wanted && this.wanted.version > held.version) return;
    this.wanted = undefined;
    this.behindSince = undefined;
    this.receiver.replace(NO_VERSION);
  }

  private noteServices(version: number, services: ReadonlySet<string>): void {
    if (this.known && version <= this.known.version) return;
    this.known = { version, services };
    this.events.noteServices(version, services.size);
  }

  private takeText(version: number, text: string, channel: PeerChannel): void {
    const before = this.version;
    const problem = this.options.usesRoutes ? this.takeRoutes(version, text) : this.keepText(version, text);
    if (problem !== '') return this.noteFault(channel, version, problem);
    this.events.noteAdopted(version, before);
  }

  /** @returns what is wrong with the text; empty for nothing */
  private takeRoutes(version: number, text: string): string {
    const decoded = decodeConfiguration(text);
    if (!decoded.ok) return decoded.problem;
    const { configuration } = decoded;
    if (configuration.version !== version) return `is of version ${configuration.version}`;
    this.keepVersion({
      version,
      configuration: this.options.usesRoutes ? configuration : undefined,
      text,
    });
    this.noteServices(version, listServices(configuration));
    return '';
  }

  /** @returns what is wrong with the text; empty for nothing */
  private keepText(version: number, text: string): string {
    if (this.known?.version !== version) return this.takeRoutes(version, text);
    const problem = checkPacked(text);
    if (problem === '') this.keepVersion({ version, configuration: undefined, text });
    return problem;
  }

  private noteFault(channel: PeerChannel, version: number, problem: string, avoidMs = AVOID_MS): void {
    this.avoidedUntil.set(channel, this.options.timeline.now() + avoidMs);
    this.events.noteFault(version, problem);
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
    const end = position + Math.min(length, this.pace.pieceLength);
    const piece = text.slice(position, end);
    const message = { type: 'configuration-piece', version, position, length: text.length } as const;
    return { message: { ...message, text: piece }, bytes: piece.length };
  }

  /** The answer to a peer of an earlier version, which takes no pieces. */
  private buildWhole(): SizedMessage | undefined {
    const held = this.held as HeldVersion;
    const decoded = held.configuration
      ? { ok: true as const, configuration: held.configuration }
      : decodeConfiguration(this.readText(held));
    if (decoded.ok) return measureMessage({ type: 'configuration', configuration: decoded.configuration });
    this.events.noteFault(held.version, decoded.problem);
    return undefined;
  }

  /** The text is packed when it is first asked for. */
  private readText(held: HeldVersion): string {
    if (held.text === undefined && held.configuration) held.text = encodeConfiguration(held.configuration);
    return held.text ?? '';
  }
}

function measureMessage(message: PeerMessage): SizedMessage {
  return { message, bytes: JSON.stringify(message).length };
}
