/** Encodes and decodes batches of messages with the generated protobuf code. */
import { UnknownMessageError } from '../_lib/errors.js';
import { marblehall as wire } from './wire.generated.js';
import type { Message } from './messages.js';

/**
 * Encodes the messages of one event loop turn.
 *
 * @param messages - messages in the order of sending
 * @returns an encoded `Batch`
 * @example
 * decodeBatch(encodeBatch([{ type: 'leaving', done: true }]))[0].type; // 'leaving'
 */
export function encodeBatch(messages: readonly Message[]): Buffer {
  const envelopes = messages.map((message) => ({ [message.type]: message }));
  return wire.Batch.encode({ messages: envelopes } as wire.IBatch).finish() as Buffer;
}

/**
 * Decodes one batch.
 *
 * @param bytes - an encoded `Batch`
 * @returns the messages
 * @throws UnknownMessageError when an envelope is empty; RangeError or Error when the bytes are malformed
 * @example
 * decodeBatch(encodeBatch([])).length; // 0
 */
export function decodeBatch(bytes: Uint8Array): Message[] {
  const batch = wire.Batch.decode(bytes);
  return batch.messages.map((envelope) => {
    const type = (envelope as wire.Envelope).body;
    if (!type) throw new UnknownMessageError('envelope without a message');
    const message = envelope[type] as unknown as { type: string };
    message.type = type;
    return message as Message;
  });
}
