/** Base of a target without a host. */
const BASE = 'http://local';

/**
 * Parses the path of a request.
 *
 * @param target - target of the request line, as the client sent it
 * @returns the path without the query; undefined when the target is malformed
 * @example
 * parsePath('/v1/jobs/a?b=c'); // '/v1/jobs/a'
 */
export function parsePath(target: string): string | undefined {
  return URL.canParse(target, BASE) ? new URL(target, BASE).pathname : undefined;
}
