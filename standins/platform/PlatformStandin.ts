/** Stand-in for the platform: an append-only log with offsets and retention, and a delayed list of VMs. */
import type { ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { writeJson } from '../../src/connection/http/writeJson.js';
import type { LiveVm } from '../../src/connection/PlatformClient.js';
import type { PlatformSettings } from '../../src/process/settings/settings.js';
import type { LogEntry, LogRecord } from '../../src/version/logRecord.js';
import { StandinServer } from '../StandinServer.js';
import type { StandinRequest } from '../StandinServer.js';

/** Faults that tests set with `PUT /faults`. */
export interface PlatformFaults {
  /** Whether the connection of every request is closed without an answer. */
  down: boolean;
  /** Delay added to every answer, ms. */
  slowMs: number;
  /** Number of following appends that take effect but are not answered. */
  loseAnswers: number;
}

interface LiveRecord {
  readonly vm: LiveVm;
  readonly at: number;
}

export class PlatformStandin extends StandinServer {
  readonly faults: PlatformFaults = { down: false, slowMs: 0, loseAnswers: 0 };
  private readonly records: LogEntry[] = [];
  private readonly live = new Map<string, LiveRecord[]>();
  /** Callbacks that wake long polls waiting for a record. */
  private readonly readers = new Set<() => void>();
  private nextOffset = 0;
  private appends = 0;

  constructor(private readonly settings: PlatformSettings) {
    super();
  }

  protected override async handle(request: StandinRequest, response: ServerResponse): Promise<void> {
    const { method, url } = request;
    if (url.pathname === '/faults') return this.handleFaults(request, response);
    if (url.pathname === '/healthz') return writeJson(response, 200, '{}');
    if (url.pathname === '/statsz') {
      return writeJson(
        response,
        200,
        JSON.stringify({ appends: this.appends, records: this.records.length }),
      );
    }
    if (this.faults.down) return void response.destroy();
    if (this.faults.slowMs > 0) await sleep(this.faults.slowMs);
    if (url.pathname === '/log' && method === 'GET') return this.read(url, response);
    if (url.pathname === '/log' && method === 'POST') return this.append(request, response);
    if (url.pathname === '/live' && method === 'GET') return this.list(response);
    if (url.pathname.startsWith('/live/') && method === 'PUT') return this.recordLive(request, response);
    writeJson(response, 404, '{}');
  }

  private handleFaults(request: StandinRequest, response: ServerResponse): void {
    if (request.method === 'PUT') Object.assign(this.faults, JSON.parse(request.text));
    this.wakeReaders();
    writeJson(response, 200, JSON.stringify(this.faults));
  }

  private async append(request: StandinRequest, response: ServerResponse): Promise<void> {
    await sleep(this.settings.appendMs);
    const record = JSON.parse(request.text) as LogRecord;
    const offset = this.nextOffset;
    this.nextOffset += 1;
    this.appends += 1;
    this.records.push({ offset, at: Date.now(), record });
    this.wakeReaders();
    this.records.splice(0, Math.max(0, this.records.length - this.settings.retainRecords));
    if (this.faults.loseAnswers > 0) {
      this.faults.loseAnswers -= 1;
      return void response.destroy();
    }
    writeJson(response, 200, JSON.stringify({ offset }));
  }

  private async read(url: URL, response: ServerResponse): Promise<void> {
    const from = Number(url.searchParams.get('from') ?? 0);
    const until = Date.now() + Number(url.searchParams.get('waitMs') ?? 0);
    while (this.nextOffset <= from && Date.now() < until && !this.faults.down)
      await this.waitForChange(until);
    if (this.faults.down) return void response.destroy();
    const found = this.records.filter((entry) => entry.offset >= from);
    const gap = found[0] !== undefined && found[0].offset > from;
    writeJson(response, 200, JSON.stringify(gap ? this.records : found));
  }

  /** Waits for an append, a change of the faults or the end of the long poll. */
  private async waitForChange(until: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const wake = (): void => {
        clearTimeout(timer);
        this.readers.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, Math.max(0, until - Date.now()));
      this.readers.add(wake);
    });
  }

  private wakeReaders(): void {
    for (const wake of [...this.readers]) wake();
  }

  private recordLive(request: StandinRequest, response: ServerResponse): void {
    const vm = JSON.parse(request.text) as LiveVm;
    const known = this.live.get(vm.id) ?? [];
    this.live.set(vm.id, [...known.slice(-20), { vm, at: Date.now() }]);
    writeJson(response, 200, '{}');
  }

  /** Sends the live VMs as of `liveLagMs` ago: those with a heartbeat in the `liveExpireMs` before that. */
  private list(response: ServerResponse): void {
    const seenAt = Date.now() - this.settings.liveLagMs;
    const vms: LiveVm[] = [];
    for (const records of this.live.values()) {
      const last = records.findLast((record) => record.at <= seenAt);
      if (last && last.at + this.settings.liveExpireMs > seenAt) vms.push(last.vm);
    }
    writeJson(response, 200, JSON.stringify(vms));
  }
}
