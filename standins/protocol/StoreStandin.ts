/**
 * Stand-in for the platform's store. It keeps the log of the operator's topic, with long polls, and the
 * newest value of each key of the system's own topics.
 */
import type { ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { writeJson } from '../../src/connection/http/writeJson.js';
import { buildLogRecord } from '../../platform/buildLogRecord.js';
import {
  CONFIGURATION_KEY,
  EVACUATION_PREFIX,
  LOG_APPEND_PATH,
  LOG_NEWEST_PATH,
  LOG_READ_PATH,
  OPERATOR_TOPIC,
} from '../../platform/names.js';
import { StandinServer } from '../StandinServer.js';
import type { StandinRequest } from '../StandinServer.js';

/** Fault of the store: requests get a 503 (`busy`), no answer (`silent`) or a closed connection (`reset`). */
export type StoreFault = 'none' | 'busy' | 'silent' | 'reset' | 'forgotten';

/** Interval between the chunks of an answer of limited rate, ms. */
const CHUNK_INTERVAL_MS = 50;

export class StoreStandin extends StandinServer {
  fault: StoreFault = 'none';
  /** Largest number of the operator's keys in one answer. */
  pageItems = 500;
  /** Number of reads of the newest records from the first key on. */
  wholeReads = 0;
  /** Number of answers without any of the operator's keys. */
  endReads = 0;
  /** Rate at which the operator's newest records are sent, bytes/ms. */
  bytesPerMs = Infinity;
  /** Whether reads return no records, as when the network loses them. */
  hidesRecords = false;
  /** Items added unchanged before the others to each page of newest records. */
  readonly strangeItems: unknown[] = [];
  /** Number of following writes that are not answered and are carried out `lateMs` later. */
  lateWrites = 0;
  /** Delay of late writes, ms. */
  lateMs = 0;
  /** Number of writes to the system's own topics that were received. */
  writes = 0;
  private readonly records: Buffer[] = [];
  /** Newest values of the system's own topics in base64, by partition and key. */
  private readonly systemTopics = new Map<string, Map<string, string>>();
  private first = 0;
  /** Newest value and its offset, by key of the operator's topic. */
  private readonly operatorKeys = new Map<string, { readonly value: string; readonly offset: number }>();
  private readonly readers = new Set<() => void>();

  /** Writes a configuration as the operator. */
  putConfiguration(configuration: object): void {
    this.writeRecord(CONFIGURATION_KEY, JSON.stringify(configuration));
  }

  /** Requests the evacuation of a failure domain as the operator. */
  putEvacuation(domain: string, body = '{}'): void {
    this.writeRecord(`${EVACUATION_PREFIX}${domain}`, body);
  }

  /** Withdraws the evacuation of a failure domain. */
  dropEvacuation(domain: string): void {
    this.writeRecord(`${EVACUATION_PREFIX}${domain}`, '');
  }

  /** Writes a record of the operator's topic; an empty value deletes the key. */
  writeRecord(key: string, value: string): void {
    if (value === '') this.operatorKeys.delete(key);
    else this.operatorKeys.set(key, { value, offset: this.records.length });
    this.records.push(buildLogRecord(key, value));
    for (const wake of [...this.readers]) wake();
  }

  /** Writes a record with a binary value, which is not among the newest records. */
  writeBytes(key: string, value: Buffer): void {
    this.writeRaw(Buffer.concat([Buffer.from([key.length]), Buffer.from(key), value]));
  }

  /** Writes arbitrary bytes as a record, after their length. */
  writeRaw(bytes: Buffer): void {
    const length = Buffer.alloc(4);
    length.writeUInt32BE(bytes.length);
    this.records.push(Buffer.concat([length, bytes]));
    for (const wake of [...this.readers]) wake();
  }

  /** Counts the keys of the system's own topics. */
  countKeys(): number {
    let count = 0;
    for (const keys of this.systemTopics.values()) count += keys.size;
    return count;
  }

  /** Newest values of the system's own topics, as text. */
  get keptValues(): string[] {
    const values = [...this.systemTopics.values()].flatMap((keys) => [...keys.values()]);
    return values.map((value) => Buffer.from(value, 'base64').toString());
  }

  /** Replaces the newest value of each key of the system's own topics, as another writer. */
  replaceKept(value: string): void {
    for (const keys of this.systemTopics.values())
      for (const key of keys.keys()) keys.set(key, Buffer.from(value).toString('base64'));
  }

  /** Drops all records from the log; the newest value of each key stays. */
  compact(): void {
    this.first = this.records.length;
  }

  protected override async handle(request: StandinRequest, response: ServerResponse): Promise<void> {
    if (request.url.pathname === LOG_APPEND_PATH) this.writes += 1;
    if (this.fault === 'silent') return;
    if (this.fault === 'reset') return void response.destroy();
    if (this.fault === 'busy') return writeJson(response, 503, '{}');
    const { pathname, searchParams } = request.url;
    const topic = searchParams.get('topic') ?? '';
    const partition = `${topic}/${searchParams.get('part')}`;
    if (pathname === LOG_APPEND_PATH && this.lateWrites > 0) return this.appendLate(partition, request.bytes);
    if (pathname === LOG_APPEND_PATH) {
      this.append(partition, request.bytes);
      return writeJson(response, 200, JSON.stringify({ offset: 0, end: 1 }));
    }
    if (pathname === LOG_NEWEST_PATH && topic !== OPERATOR_TOPIC) return this.sendKeys(partition, response);
    if (pathname === LOG_NEWEST_PATH) return this.sendNewest(response, searchParams.get('after'));
    if (pathname !== LOG_READ_PATH) return writeJson(response, 404, '{}');
    const from = Number(searchParams.get('from'));
    if (from < this.first) return writeJson(response, 410, JSON.stringify({ first: this.first }));
    const waitMs = Number(searchParams.get('wait_ms'));
    if (from >= this.records.length || this.hidesRecords) await this.waitForRecord(waitMs);
    this.sendRecords(response, this.hidesRecords ? this.records.length : from);
  }

  private async appendLate(partition: string, body: Buffer): Promise<void> {
    this.lateWrites -= 1;
    await sleep(this.lateMs);
    this.append(partition, body);
  }

  private append(partition: string, body: Buffer): void {
    const keyEnd = 5 + body.readUInt8(4);
    const keys = this.systemTopics.get(partition) ?? new Map<string, string>();
    keys.set(body.toString('utf8', 5, keyEnd), body.toString('base64', keyEnd));
    this.systemTopics.set(partition, keys);
  }

  private sendKeys(partition: string, response: ServerResponse): void {
    const items = [...(this.systemTopics.get(partition) ?? [])].map(([key, value]) => ({
      key,
      value,
      offset: 0,
    }));
    const strange = this.strangeItems;
    writeJson(response, 200, JSON.stringify({ items: [...strange, ...items], more: false, end: 1 }));
  }

  private sendNewest(response: ServerResponse, after: string | null): void {
    const keys = this.listKeysAfter(after);
    const page = keys.slice(0, this.pageItems);
    if (after === null) this.wholeReads += 1;
    if (page.length === 0) this.endReads += 1;
    const items = page.map(([key, { value, offset }]) => {
      return { key, value: Buffer.from(value).toString('base64'), offset };
    });
    const more = page.length < keys.length;
    const strange = this.strangeItems;
    const text = JSON.stringify({ items: [...strange, ...items], more, end: this.records.length });
    if (this.bytesPerMs === Infinity) return writeJson(response, 200, text);
    void writeSlowly(response, text, this.bytesPerMs);
  }

  /** Lists the operator's keys after the given one, which may be missing. */
  private listKeysAfter(
    after: string | null,
  ): [string, { readonly value: string; readonly offset: number }][] {
    const keys = [...this.operatorKeys];
    if (after === null) return keys;
    const at = keys.findIndex(([key]) => key === after);
    return at >= 0 ? keys.slice(at + 1) : keys.filter(([key]) => key > after);
  }

  private sendRecords(response: ServerResponse, from: number): void {
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

/** Writes an answer in chunks, as over a slow link. */
async function writeSlowly(response: ServerResponse, text: string, bytesPerMs: number): Promise<void> {
  response.writeHead(200, { 'content-type': 'application/json' });
  const part = Math.ceil(bytesPerMs * CHUNK_INTERVAL_MS);
  for (let at = 0; at < text.length && !response.destroyed; at += part) {
    response.write(text.slice(at, at + part));
    await sleep(CHUNK_INTERVAL_MS);
  }
  response.end();
}
