/**
 * Bounds all that clients make a process keep before they are admitted: connections, headers, bodies, lines,
 * requests that are not handled yet, and answers that are not read. One budget for all listeners of a process;
 * above it, connections that hold most and move least are closed.
 */
import { CONNECTION_BYTES, InputAccount } from './InputAccount.js';
import type { ClosedInput, InputLedger } from './InputAccount.js';
import type { InputLimits } from './deriveInputLimits.js';

/** Name of the listener whose admitted connections are links between processes. */
export const LINK_LISTENER = 'link';

/** Fraction of the memory limit down to which connections are closed, so that not each byte closes one. */
const LOW_WATER = 0.9;

/** Figures of a budget, for metrics. */
export interface InputFigures {
  /** Memory of the unadmitted input, bytes. */
  readonly heldBytes: number;
  /** Number of accepted connections, without admitted links. */
  readonly connections: number;
}

/** Options of a budget. */
export interface InputBudgetOptions {
  readonly limits: InputLimits;
  /** Reads the monotonic clock, ms. */
  readonly now: () => number;
  /** Called for each connection that is closed because of a limit. */
  readonly recordClosed: (closed: ClosedInput) => void;
}

/** Budget of one process. */
export class InputBudget implements InputLedger, InputFigures {
  private readonly accounts = new Set<InputAccount>();
  private readonly links = new Set<InputAccount>();
  private readonly countByListener = new Map<string, number>();
  private held = 0;

  constructor(private readonly options: InputBudgetOptions) {}

  /** Memory of the unadmitted input, bytes. */
  get heldBytes(): number {
    return this.held;
  }

  /** Number of accepted connections, without admitted links. */
  get connections(): number {
    return this.accounts.size;
  }

  /**
   * Opens the account of an accepted connection. At a limit another connection is closed in its favour; where none
   * may be closed, the new one is.
   *
   * @param listener - name of the listener, for log and metrics
   * @param maxConnections - most connections of this listener
   * @param destroy - closes the connection
   * @returns the account; undefined if the connection has been closed
   */
  open(listener: string, maxConnections: number, destroy: () => void): InputAccount | undefined {
    const { limits } = this.options;
    const account = new InputAccount(listener, this, destroy);
    const hasRoom =
      this.makeRoom(this.countConnections(listener), maxConnections, listener) &&
      this.makeRoom(this.connections, limits.maxConnections);
    if (!hasRoom) {
      account.close('connections');
      return undefined;
    }
    this.accounts.add(account);
    this.countByListener.set(listener, this.countConnections(listener) + 1);
    account.hold(CONNECTION_BYTES);
    return this.accounts.has(account) ? account : undefined;
  }

  recordClosed(closed: ClosedInput): void {
    this.options.recordClosed(closed);
  }

  change(_account: InputAccount, bytes: number): void {
    this.held += bytes;
    if (bytes > 0 && this.held > this.options.limits.maxBytes) this.releaseMemory();
  }

  admit(account: InputAccount, isAdmitted: boolean): boolean {
    if (account.listener !== LINK_LISTENER || !isAdmitted) return true;
    if (this.links.size >= this.options.limits.maxLinks) return false;
    this.forgetConnection(account);
    this.links.add(account);
    return true;
  }

  remove(account: InputAccount): void {
    this.forgetConnection(account);
    this.links.delete(account);
    this.held -= account.heldBytes;
  }

  /** Number of accepted connections of a listener, without admitted links. */
  private countConnections(listener: string): number {
    return this.countByListener.get(listener) ?? 0;
  }

  private forgetConnection(account: InputAccount): void {
    if (!this.accounts.delete(account)) return;
    this.countByListener.set(account.listener, this.countConnections(account.listener) - 1);
  }

  /** Closes a connection if there are as many as the limit; returns false if none may be closed. */
  private makeRoom(count: number, limit: number, listener?: string): boolean {
    if (count < limit) return true;
    const now = this.options.now();
    let worst: InputAccount | undefined;
    for (const account of this.accounts) {
      if (account.isAdmitted || (listener !== undefined && account.listener !== listener)) continue;
      if (!worst || compareBurden(account, worst, now) < 0) worst = account;
    }
    worst?.close('connections');
    return worst !== undefined;
  }

  /** Closes connections until the memory is well below its limit. */
  private releaseMemory(): void {
    const now = this.options.now();
    const eligible = [...this.accounts, ...this.links].filter(({ heldBytes }) => heldBytes > 0);
    eligible.sort((one, other) => compareBurden(one, other, now));
    for (const account of eligible) {
      if (this.held <= this.options.limits.maxBytes * LOW_WATER) return;
      account.close('memory');
    }
  }
}

/**
 * Orders accounts by when they are closed: by what they hold, less while they move. Among equals the one that has
 * moved least goes first, and the oldest among those.
 */
function compareBurden(one: InputAccount, other: InputAccount, now: number): number {
  const oneMoved = one.findMovement(now);
  const otherMoved = other.findMovement(now);
  return computeBurden(other, otherMoved) - computeBurden(one, oneMoved) || oneMoved - otherMoved;
}

function computeBurden({ heldBytes }: InputAccount, moved: number): number {
  return heldBytes ** 2 / (moved + CONNECTION_BYTES);
}
