import type { IncomingMessage } from 'node:http';

/** A whole body, or why there is none. */
export type CollectedBody = Buffer | 'too-large' | 'cut';

/**
 * Collects the body of a request or an answer up to a bound. By events: an async iterator over the message costs more
 * processor time than all else that is done with a short body.
 *
 * @param message - request or answer whose body nobody reads yet
 * @param maxBytes - the bound
 * @returns the bytes; `too-large` past the bound; `cut` when the connection broke before the end
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
