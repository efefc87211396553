import { boundMessage } from './boundMessage.js';
import type { MessageFault } from './MessageFault.js';
import type { WireMessage } from './peerMessages.js';

/** Longest line that a receiver accepts, bytes. */
export const MAX_LINE_BYTES = 4 * 1024 * 1024;
/** Most bytes of a character in UTF-8, per unit of the length of a text. */
const MAX_CHARACTER_BYTES = 3;

/** A message as it is written, and what of it could not be sent as it was. */
export interface EncodedMessage {
  /** JSON text without the line break; empty for a message that its receiver would reject. */
  readonly line: string;
  readonly faults: readonly MessageFault[];
}

/**
 * Encodes a message so that its receiver accepts it: numbers are bounded, and one that is too long is left out.
 *
 * @param message - a message
 * @returns its line
 * @example
 * encodePeerMessage({ type: 'emptied-request' }).line; // '{"type":"emptied-request"}'
 */
export function encodePeerMessage(message: WireMessage): EncodedMessage {
  const { message: bounded, faults } = boundMessage(message);
  const line = JSON.stringify(bounded);
  const isShort = line.length * MAX_CHARACTER_BYTES <= MAX_LINE_BYTES;
  if (isShort || Buffer.byteLength(line) <= MAX_LINE_BYTES) return { line, faults };
  const problem = `must be at most ${MAX_LINE_BYTES} bytes`;
  return { line: '', faults: [...faults, { type: message.type, field: '', count: 1, problem }] };
}
