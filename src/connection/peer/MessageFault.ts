/** Part of a message on a link that its receiver could not read, or its sender had to change. */
import type { AttemptName, WireMessage } from './peerMessages.js';

/** Whether a message was received or sent. */
export type FaultDirection = 'received' | 'sent';

/** A part that was left out, replaced or bounded. */
export interface MessageFault {
  readonly type: WireMessage['type'];
  /** Name of the field; empty for the whole message. */
  readonly field: string;
  /** Number of fields or rows. */
  readonly count: number;
  /** What is wrong with the first of them. */
  readonly problem: string;
  /** Attempts among them that were to be started, as far as their names could be read. */
  readonly starts?: readonly AttemptName[];
}
