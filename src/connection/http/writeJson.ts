import type { ServerResponse } from 'node:http';

/**
 * Answers a request with JSON text.
 *
 * @param response - the response; a closed one is ignored
 * @param status - HTTP status
 * @param text - JSON text
 * @param headers - further headers
 */
export function writeJson(
  response: ServerResponse,
  status: number,
  text: string,
  headers: Readonly<Record<string, string>> = {},
): void {
  if (response.writableEnded || response.destroyed) return;
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(text)),
    ...headers,
  });
  response.end(text);
}
