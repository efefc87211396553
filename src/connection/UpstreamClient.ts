/** Client of the upstream on an agent's VM. */
import { Pool } from 'undici';

import type { UpstreamOutcome } from '../process/agent/endTask.js';

/** A task for the upstream. */
export interface UpstreamRequest {
  /** `job/index`, for the upstream's records. */
  readonly taskId: string;
  readonly kind: string;
  /** JSON text. */
  readonly body: string;
  /** Deadline, ms since the epoch. */
  readonly deadline: number;
}

/** Largest answer of an upstream, bytes. */
const MAX_ANSWER_BYTES = 4 * 1024 * 1024;
/** Timeout of a connection attempt, ms. */
const CONNECT_TIMEOUT_MS = 1_000;
/** Error codes after which no request was sent. */
const UNSENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'UND_ERR_CONNECT_TIMEOUT',
  'EHOSTUNREACH',
]);
/** Status of a task whose answer is not JSON or is too large. */
const BAD_GATEWAY = 502;

/** Sends tasks to one upstream over a bounded connection pool, without retries. */
export class UpstreamClient {
  private readonly pool: Pool;

  constructor(url: string, options: { readonly connections: number; readonly requestTimeoutMs: number }) {
    const timeout = options.requestTimeoutMs;
    const connect = { timeout: CONNECT_TIMEOUT_MS };
    const { connections } = options;
    this.pool = new Pool(url, {
      connections,
      pipelining: 1,
      headersTimeout: timeout,
      bodyTimeout: timeout,
      connect,
    });
  }

  /**
   * Sends a task and waits for its answer.
   *
   * @param request - the task
   * @returns the answer; `unsent` when no connection was made; `lost` when the task may have run
   */
  async runTask(request: UpstreamRequest): Promise<UpstreamOutcome> {
    try {
      const response = await this.pool.request({
        method: 'POST',
        path: `/tasks/${encodeURIComponent(request.kind)}`,
        body: request.body,
        headers: {
          'content-type': 'application/json',
          'marblehall-task': request.taskId,
          'marblehall-deadline': String(Math.round(request.deadline)),
        },
      });
      return await readAnswer(response);
    } catch (error) {
      return classifyError(error);
    }
  }

  /** Checks whether the upstream accepts connections. */
  async probe(): Promise<boolean> {
    try {
      const response = await this.pool.request({ method: 'GET', path: '/healthz' });
      await response.body.dump();
      return true;
    } catch (error) {
      return !UNSENT_CODES.has(readErrorCode(error));
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.pool.destroy();
  }
}

async function readAnswer(response: {
  statusCode: number;
  body: AsyncIterable<Uint8Array> & { destroy(): unknown };
}): Promise<UpstreamOutcome> {
  const chunks: Uint8Array[] = [];
  let size = 0;
  for await (const chunk of response.body) {
    size += chunk.length;
    if (size > MAX_ANSWER_BYTES) {
      response.body.destroy();
      return buildBadGateway('answer-too-large');
    }
    chunks.push(chunk);
  }
  const body = Buffer.concat(chunks).toString('utf8');
  if (!isJson(body)) return buildBadGateway('answer-not-json');
  return { type: 'answered', status: response.statusCode, body };
}

function buildBadGateway(error: string): UpstreamOutcome {
  return { type: 'answered', status: BAD_GATEWAY, body: JSON.stringify({ error }) };
}

function isJson(text: string): boolean {
  try {
    JSON.parse(text);
    return true;
  } catch {
    return false;
  }
}

function classifyError(error: unknown): UpstreamOutcome {
  const code = readErrorCode(error);
  if (UNSENT_CODES.has(code)) return { type: 'unsent', reason: 'upstream-down' };
  return { type: 'lost', reason: code || 'upstream-lost' };
}

function readErrorCode(error: unknown): string {
  if (error instanceof AggregateError) return readErrorCode(error.errors[0]);
  return String((error as { code?: unknown } | undefined)?.code ?? '');
}
