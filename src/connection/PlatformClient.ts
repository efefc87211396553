/** Client of the platform's append-only log and its list of live VMs. */
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
  /** Whether the platform is about to remove the VM. */
  readonly leaving: boolean;
}

/** Timeout of a call, beyond the wait of a long poll, ms. */
const TIMEOUT_MS = 3_000;
/** One connection may be held by a long poll. */
const CONNECTIONS = 3;

/** Calls the platform. Every method rejects with a PlatformError when the platform is down or slow. */
export class PlatformClient {
  private readonly pool: Pool;

  constructor(url: string) {
    this.pool = new Pool(url, { connections: CONNECTIONS, headersTimeout: 0, bodyTimeout: 0 });
  }

  /**
   * Reads records of the log.
   *
   * @param from - offset of the first record
   * @param waitMs - how long the platform may wait for a record before it answers, ms
   * @returns records in offset order; all retained ones when the requested offset has expired
   * @throws PlatformError
   */
  async readLog(from: number, waitMs: number): Promise<readonly LogEntry[]> {
    const path = `/log?from=${from}&waitMs=${waitMs}`;
    return (await this.call('GET', path, undefined, waitMs + TIMEOUT_MS)) as readonly LogEntry[];
  }

  /**
   * Appends a record. It may have been appended despite an error; its id makes a retry idempotent.
   *
   * @param record - the record
   * @returns its offset
   * @throws PlatformError
   */
  async append(record: LogRecord): Promise<number> {
    const answer = (await this.call('POST', '/log', record, TIMEOUT_MS)) as { offset: number };
    return answer.offset;
  }

  /**
   * Reads the list of live VMs.
   *
   * @returns the VMs; the list may be out of date
   * @throws PlatformError
   */
  async listLive(): Promise<readonly LiveVm[]> {
    return (await this.call('GET', '/live', undefined, TIMEOUT_MS)) as readonly LiveVm[];
  }

  /**
   * Reports this VM as live to the stand-in platform; a real platform detects it itself.
   *
   * @param vm - this VM
   * @throws PlatformError
   */
  async reportLive(vm: LiveVm): Promise<void> {
    await this.call('PUT', `/live/${encodeURIComponent(vm.id)}`, vm, TIMEOUT_MS);
  }

  /** Closes all connections. */
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
