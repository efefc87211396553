import type { IncomingMessage } from 'node:http';

import { collectBody } from './collectBody.js';

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
  const bytes = await collectBody(request, maxBytes);
  if (typeof bytes === 'string') return { ok: false, reason: bytes };
  return { ok: true, text: bytes.toString('utf8'), bytes };
}
