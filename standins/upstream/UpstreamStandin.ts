/** Stand-in for an upstream: occupies a slot for the duration a task requests, and counts all starts. */
import type { ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { writeJson } from '../../src/connection/http/writeJson.js';
import type { UpstreamSettings } from '../../src/process/settings/settings.js';
import { StandinServer } from '../StandinServer.js';
import type { StandinRequest } from '../StandinServer.js';

/** Body of a task. */
interface TaskBody {
  readonly workMs?: number;
  readonly echo?: unknown;
}

/** Faults that tests set with `PUT /faults`. */
export interface UpstreamFaults {
  /** Whether tasks run but are never answered. */
  stall: boolean;
  /** Delay added to every answer, ms. */
  lateMs: number;
  /** Number of following answers that are not JSON. */
  garbage: number;
  /** Number of following answers that are replaced by a closed connection. */
  cut: number;
}

export class UpstreamStandin extends StandinServer {
  readonly faults: UpstreamFaults = { stall: false, lateMs: 0, garbage: 0, cut: 0 };
  private readonly starts = new Map<string, number>();
  private readonly queue: (() => void)[] = [];
  /** Begin and end of every use of a slot, Unix ms. */
  private readonly intervals: [number, number][] = [];
  private busy = 0;
  private busyMs = 0;
  private startedTotal = 0;
  private highestBusy = 0;

  constructor(private readonly settings: UpstreamSettings) {
    super();
  }

  /** Number of starts by task id. */
  get startCounts(): ReadonlyMap<string, number> {
    return this.starts;
  }

  /** Begin and end of every use of a slot, Unix ms. */
  get busyIntervals(): readonly (readonly [number, number])[] {
    return this.intervals;
  }

  protected override async handle(request: StandinRequest, response: ServerResponse): Promise<void> {
    const { method, url } = request;
    if (method === 'POST' && url.pathname.startsWith('/tasks/')) return this.runTask(request, response);
    if (url.pathname === '/starts') return this.sendStarts(response);
    if (url.pathname === '/statsz') {
      const { busy, busyMs, startedTotal, highestBusy } = this;
      return writeJson(response, 200, JSON.stringify({ busy, busyMs, startedTotal, highestBusy }));
    }
    if (url.pathname === '/intervals') return writeJson(response, 200, JSON.stringify(this.intervals));
    if (url.pathname === '/faults') {
      if (method === 'PUT') Object.assign(this.faults, JSON.parse(request.text));
      return writeJson(response, 200, JSON.stringify(this.faults));
    }
    if (url.pathname === '/healthz') return writeJson(response, 200, '{}');
    writeJson(response, 404, '{}');
  }

  private async runTask(request: StandinRequest, response: ServerResponse): Promise<void> {
    const id = String(request.headers['marblehall-task'] ?? 'unnamed');
    this.starts.set(id, (this.starts.get(id) ?? 0) + 1);
    this.startedTotal += 1;
    const { workMs = 0, echo = null } = JSON.parse(request.text) as TaskBody;
    await this.acquireSlot();
    const begin = Date.now();
    await sleep(workMs * this.settings.speed);
    const end = Date.now();
    this.busyMs += end - begin;
    this.intervals.push([begin, end]);
    this.releaseSlot();
    if (this.faults.stall) return;
    if (this.faults.lateMs > 0) await sleep(this.faults.lateMs);
    if (this.faults.cut > 0) {
      this.faults.cut -= 1;
      return void response.destroy();
    }
    if (this.faults.garbage > 0) {
      this.faults.garbage -= 1;
      return writeJson(response, 200, '<html>');
    }
    writeJson(response, 200, JSON.stringify({ echo }));
  }

  private async acquireSlot(): Promise<void> {
    if (this.busy >= this.settings.slots) await new Promise<void>((resolve) => this.queue.push(resolve));
    else this.busy += 1;
    this.highestBusy = Math.max(this.highestBusy, this.busy);
  }

  private releaseSlot(): void {
    const next = this.queue.shift();
    if (next) next();
    else this.busy -= 1;
  }

  private sendStarts(response: ServerResponse): void {
    writeJson(response, 200, JSON.stringify(Object.fromEntries(this.starts)));
  }
}
