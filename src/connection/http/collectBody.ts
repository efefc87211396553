import type { IncomingMessage } from 'node:http';

/** The whole body, or why it is missing. */
export type CollectedBody = Buffer | 'too-large' | 'cut';

/**
 * Collects the body of a request or an answer up to a limit. It listens to events, which use less CPU time
 * for short bodies than an async iterator over the message.
 *
 * @param message - request or answer whose body has not been read
 * @param maxBytes - the limit, bytes
 * @returns the bytes; `too-large` above the limit; `cut` when the connection closed before the end
 */
export function collectBody(message: IncomingMessage, maxBytes = Infinity): Promise<CollectedBody> {
  const declared = Number(message.headers['content-length'] ?? 0);
  if (declared > maxBytes) return Promise.resolve('too-large');
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    message.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) resolve('too-large');
      else chunks.push(chunk);
    });
    message.on('end', () => resolve(chunks.length === 1 && chunks[0] ? chunks[0] : Buffer.concat(chunks)));
    message.on('error', () => resolve('cut'));
    message.on('close', () => resolve('cut'));
  });
}
