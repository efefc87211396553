/** What one connection holds of the input budget of its process. */

/** Memory of an open connection without input: sockets, parser and buffers, bytes. */
export const CONNECTION_BYTES = 16_384;
/** Time in which the recorded movement of a connection halves, ms. */
const MOVEMENT_HALF_LIFE_MS = 1_000;

/** Why a connection was closed. */
export type InputCloseReason = 'memory' | 'connections' | 'links' | 'pipelined';

/** A connection that was closed because of a limit. */
export interface ClosedInput {
  readonly listener: string;
  readonly reason: InputCloseReason;
  /** Memory that it held, bytes. */
  readonly heldBytes: number;
}

/** The budget as seen by its accounts. */
export interface InputLedger {
  /** Applies a change of what an account holds, which may close connections, also the account's own. */
  change(account: InputAccount, bytes: number): void;
  /** Records that a connection has been admitted, or is no longer; returns false if there are too many. */
  admit(account: InputAccount, isAdmitted: boolean): boolean;
  /** Removes an account whose connection is closed. */
  remove(account: InputAccount): void;
  /** Records that a connection is closed because of a limit. */
  recordClosed(closed: ClosedInput): void;
}

/** Account of one connection. */
export class InputAccount {
  /** Memory of the input that is not admitted, bytes. */
  heldBytes = 0;
  private movedBytes = 0;
  private movedAt = 0;
  private isOpen = true;
  private admitted = false;

  /**
   * @param listener - name of the listener, for log and metrics
   * @param ledger - the budget
   * @param closeConnection - closes the connection for a reason; the account is removed already
   */
  constructor(
    readonly listener: string,
    private readonly ledger: InputLedger,
    private closeConnection: (reason: InputCloseReason) => void,
  ) {}

  /** Whether what the client has sent last is admitted, so that the limits of jobs or links count it. */
  get isAdmitted(): boolean {
    return this.admitted;
  }

  /** Sets how the connection is closed from now on. */
  closeWith(closeConnection: (reason: InputCloseReason) => void): void {
    this.closeConnection = closeConnection;
  }

  /** Holds more memory; a negative number releases some. */
  hold(bytes: number): void {
    if (!this.isOpen || bytes === 0) return;
    this.heldBytes += bytes;
    this.ledger.change(this, bytes);
  }

  /** Records input that was received. */
  recordInput(bytes: number, now: number): void {
    this.movedBytes = this.findMovement(now) + bytes;
    this.movedAt = now;
  }

  /** Computes the recently received bytes; older ones count less. */
  findMovement(now: number): number {
    return this.movedBytes * 2 ** ((this.movedAt - now) / MOVEMENT_HALF_LIFE_MS);
  }

  /** Marks the connection as admitted, or no longer; its own memory is then counted elsewhere. */
  setAdmitted(isAdmitted: boolean): void {
    if (!this.isOpen || this.admitted === isAdmitted) return;
    this.admitted = isAdmitted;
    if (!this.ledger.admit(this, isAdmitted)) return this.close('links');
    this.hold(isAdmitted ? -CONNECTION_BYTES : CONNECTION_BYTES);
  }

  /** Closes the connection because of a limit. */
  close(reason: InputCloseReason): void {
    if (!this.isOpen) return;
    const { heldBytes } = this;
    this.remove();
    this.ledger.recordClosed({ listener: this.listener, reason, heldBytes });
    this.closeConnection(reason);
  }

  /** Removes the account, as its connection has closed. */
  remove(): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.ledger.remove(this);
  }
}
