/** Stand-in for the platform's store: the operator's topic only, with newest records, long polls and faults. */
import type { ServerResponse } from 'node:http';

import { writeJson } from '../../src/connection/http/writeJson.js';
import { CONFIGURATION_KEY, LOG_NEWEST_PATH, LOG_READ_PATH } from '../../platform/names.js';
import { StandinServer } from '../StandinServer.js';
import type { StandinRequest } from '../StandinServer.js';

/** What goes wrong at the store. */
export type StoreFault = 'none' | 'busy' | 'silent' | 'reset' | 'forgotten';

/** The store. */
export class StoreStandin extends StandinServer {
  fault: StoreFault = 'none';
  private readonly records: Buffer[] = [];
  private first = 0;
  private newest: string | undefined;
  private readonly readers = new Set<() => void>();

  /** Writes a configuration, as the operator does. */
  putConfiguration(configuration: object): void {
    this.newest = JSON.stringify(configuration);
    const key = Buffer.from(CONFIGURATION_KEY);
    const value = Buffer.from(this.newest);
    const record = Buffer.concat([Buffer.from([key.length]), key, value]);
    const length = Buffer.alloc(4);
    length.writeUInt32BE(record.length);
    this.records.push(Buffer.concat([length, record]));
    for (const wake of [...this.readers]) wake();
  }

  /** Drops all records; the newest of each key stays. */
  forget(): void {
    this.first = this.records.length;
  }

  protected override async handle(request: StandinRequest, response: ServerResponse): Promise<void> {
    if (this.fault === 'silent') return;
    if (this.fault === 'reset') return void response.destroy();
    if (this.fault === 'busy') return writeJson(response, 503, '{}');
    const { pathname, searchParams } = request.url;
    if (pathname === LOG_NEWEST_PATH) return this.answerNewest(response);
    if (pathname !== LOG_READ_PATH) return writeJson(response, 404, '{}');
    const from = Number(searchParams.get('from'));
    if (from < this.first) return writeJson(response, 410, JSON.stringify({ first: this.first }));
    if (from >= this.records.length) await this.waitForRecord(Number(searchParams.get('wait_ms')));
    this.answerRecords(response, from);
  }

  private answerNewest(response: ServerResponse): void {
    const value = this.newest === undefined ? undefined : Buffer.from(this.newest).toString('base64');
    const items =
      value === undefined ? [] : [{ key: CONFIGURATION_KEY, value, offset: this.records.length - 1 }];
    writeJson(response, 200, JSON.stringify({ items, more: false, end: this.records.length }));
  }

  private answerRecords(response: ServerResponse, from: number): void {
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(this.records.length), 0);
    head.writeBigUInt64BE(BigInt(this.first), 8);
    const body = Buffer.concat([head, ...this.records.slice(from)]);
    if (response.destroyed) return;
    response.writeHead(200, { 'content-length': String(body.length) }).end(body);
  }

  private waitForRecord(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        this.readers.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      this.readers.add(finish);
    });
  }
}
