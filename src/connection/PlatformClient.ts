/** Client of the platform: its append-only log and its list of live VMs. */
import { Pool } from 'undici';

import { PlatformError } from '../_lib/errors.js';
import type { LogEntry, LogRecord } from '../version/logRecord.js';

/** One VM on the live list. */
export interface LiveVm {
  readonly id: string;
  readonly role: 'entry' | 'agent';
  /** `host:port` of its links. */
  readonly address: string;
  readonly failureDomain: string;
  /** True once the platform is about to take the VM away. */
  readonly leaving: boolean;
}

/** Longest wait for an answer of the platform beyond a long poll, ms. */
const TIMEOUT_MS = 3_000;
/** Connections to the platform: one for the long poll, one for the rest. */
const CONNECTIONS = 3;

/** Talks to the platform. Every method throws PlatformError when it is down or slow. */
export class PlatformClient {
  private readonly pool: Pool;

  constructor(url: string) {
    this.pool = new Pool(url, { connections: CONNECTIONS, headersTimeout: 0, bodyTimeout: 0 });
  }

  /**
   * Reads records.
   *
   * @param from - first offset wanted
   * @param waitMs - how long the platform may hold an empty answer
   * @returns records in offset order; all that are retained when the wanted one has expired
   * @throws PlatformError
   */
  async readLog(from: number, waitMs: number): Promise<readonly LogEntry[]> {
    const path = `/log?from=${from}&waitMs=${waitMs}`;
    return (await this.call('GET', path, undefined, waitMs + TIMEOUT_MS)) as readonly LogEntry[];
  }

  /**
   * Appends a record. After an error it may have taken effect; its id makes a repeat harmless.
   *
   * @param record - what to append
   * @returns its offset
   * @throws PlatformError
   */
  async append(record: LogRecord): Promise<number> {
    const answer = (await this.call('POST', '/log', record, TIMEOUT_MS)) as { offset: number };
    return answer.offset;
  }

  /**
   * Reads the live list.
   *
   * @returns the VMs, as the platform knew them some time ago
   * @throws PlatformError
   */
  async listLive(): Promise<readonly LiveVm[]> {
    return (await this.call('GET', '/live', undefined, TIMEOUT_MS)) as readonly LiveVm[];
  }

  /**
   * Tells the stand-in platform that this VM is live; a real platform knows it by itself.
   *
   * @param vm - this VM
   * @throws PlatformError
   */
  async reportLive(vm: LiveVm): Promise<void> {
    await this.call('PUT', `/live/${encodeURIComponent(vm.id)}`, vm, TIMEOUT_MS);
  }

  /** Ends all connections. */
  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private async call(
    method: 'GET' | 'POST' | 'PUT',
    path: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    try {
      const text = body === undefined ? null : JSON.stringify(body);
      const headers = { 'content-type': 'application/json' };
      const signal = AbortSignal.timeout(timeoutMs);
      const response = await this.pool.request({ method, path, body: text, headers, signal });
      const answer = await response.body.text();
      if (response.statusCode !== 200)
        throw new PlatformError(`${method} ${path}: status ${response.statusCode}`);
      return JSON.parse(answer) as unknown;
    } catch (cause) {
      throw new PlatformError(`${method} ${path} failed`, { cause });
    }
  }
}
