import type { IncomingMessage } from 'node:http';

/** A body, or why there is none. */
export type BodyRead =
  | { readonly ok: true; readonly text: string; readonly bytes: Buffer }
  | { readonly ok: false; readonly reason: 'too-large' | 'cut' };

/**
 * Reads a request's body up to a bound. A larger one is given up before it is read whole.
 *
 * @param request - the request
 * @param maxBytes - the bound
 * @returns the text; `too-large` past the bound; `cut` when the connection broke
 */
export async function readBody(request: IncomingMessage, maxBytes: number): Promise<BodyRead> {
  const declared = Number(request.headers['content-length'] ?? 0);
  if (declared > maxBytes) return { ok: false, reason: 'too-large' };
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request) {
      size += (chunk as Buffer).length;
      if (size > maxBytes) return { ok: false, reason: 'too-large' };
      chunks.push(chunk as Buffer);
    }
  } catch {
    return { ok: false, reason: 'cut' };
  }
  const bytes = Buffer.concat(chunks);
  return { ok: true, text: bytes.toString('utf8'), bytes };
}
