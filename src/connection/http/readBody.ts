import type { IncomingMessage } from 'node:http';

import { collectBody } from './collectBody.js';

/** The body, or why it is missing. */
export type BodyRead =
  | { readonly ok: true; readonly text: string; readonly bytes: Buffer }
  | { readonly ok: false; readonly reason: 'too-large' | 'cut' };

/**
 * Reads the body of a request up to a limit. A larger body is rejected as soon as it exceeds the limit.
 *
 * @param request - the request
 * @param maxBytes - the limit, bytes
 * @returns the body; `too-large` above the limit; `cut` when the connection closed before the end
 */
export async function readBody(request: IncomingMessage, maxBytes: number): Promise<BodyRead> {
  const bytes = await collectBody(request, maxBytes);
  if (typeof bytes === 'string') return { ok: false, reason: bytes };
  return { ok: true, text: bytes.toString('utf8'), bytes };
}
