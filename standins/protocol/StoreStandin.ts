/** Stand-in for the platform's store: the operator's topic only, with newest records, long polls and faults. */
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

/** What goes wrong at the store. */
export type StoreFault = 'none' | 'busy' | 'silent' | 'reset' | 'forgotten';

/** Time between two parts of an answer that goes out slowly, ms. */
const PART_MS = 50;

/** The store. */
export class StoreStandin extends StandinServer {
  fault: StoreFault = 'none';
  /** Newest records that one answer holds. */
  pageItems = 500;
  /** Answers that began with the first key. */
  wholeReads = 0;
  /** Answers that held no key. */
  endReads = 0;
  /** Rate at which answers about the operator's records go out, bytes a ms. */
  bytesPerMs = Infinity;
  /** Whether reads are told nothing of what is written, as on a path that lost it. */
  hidesRecords = false;
  /** Put into each page of newest records before the others, as they are. */
  readonly strangeItems: unknown[] = [];
  private readonly records: Buffer[] = [];
  /** Newest values of the system's own topics, by partition and key, in base64. */
  private readonly keyed = new Map<string, Map<string, string>>();
  private first = 0;
  /** Newest value of each key of the operator's, and its offset. */
  private readonly operatorKeys = new Map<string, { readonly value: string; readonly offset: number }>();
  private readonly readers = new Set<() => void>();

  /** Writes a configuration, as the operator does. */
  putConfiguration(configuration: object): void {
    this.writeRecord(CONFIGURATION_KEY, JSON.stringify(configuration));
  }

  /** Asks that a failure domain is emptied, as the operator does. */
  putEvacuation(domain: string, body = '{}'): void {
    this.writeRecord(`${EVACUATION_PREFIX}${domain}`, body);
  }

  /** Takes a failure domain back. */
  dropEvacuation(domain: string): void {
    this.writeRecord(`${EVACUATION_PREFIX}${domain}`, '');
  }

  /** Writes a record of the operator's topic; one without a value drops its key. */
  writeRecord(key: string, value: string): void {
    if (value === '') this.operatorKeys.delete(key);
    else this.operatorKeys.set(key, { value, offset: this.records.length });
    this.records.push(buildLogRecord(key, value));
    for (const wake of [...this.readers]) wake();
  }

  /** Writes a record whose value need not be text; readers of the newest records do not find it. */
  writeBytes(key: string, value: Buffer): void {
    this.writeRaw(Buffer.concat([Buffer.from([key.length]), Buffer.from(key), value]));
  }

  /** Writes a record of any bytes, behind their length. */
  writeRaw(bytes: Buffer): void {
    const length = Buffer.alloc(4);
    length.writeUInt32BE(bytes.length);
    this.records.push(Buffer.concat([length, bytes]));
    for (const wake of [...this.readers]) wake();
  }

  /** Keys in the system's own topics. */
  countKeys(): number {
    let count = 0;
    for (const keys of this.keyed.values()) count += keys.size;
    return count;
  }

  /** Newest values in the system's own topics, as text. */
  get keptValues(): string[] {
    const values = [...this.keyed.values()].flatMap((keys) => [...keys.values()]);
    return values.map((value) => Buffer.from(value, 'base64').toString());
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
    const topic = searchParams.get('topic') ?? '';
    const partition = `${topic}/${searchParams.get('part')}`;
    if (pathname === LOG_APPEND_PATH) return this.append(partition, request.bytes, response);
    if (pathname === LOG_NEWEST_PATH && topic !== OPERATOR_TOPIC) return this.answerKeys(partition, response);
    if (pathname === LOG_NEWEST_PATH) return this.answerNewest(response, searchParams.get('after'));
    if (pathname !== LOG_READ_PATH) return writeJson(response, 404, '{}');
    const from = Number(searchParams.get('from'));
    if (from < this.first) return writeJson(response, 410, JSON.stringify({ first: this.first }));
    const waitMs = Number(searchParams.get('wait_ms'));
    if (from >= this.records.length || this.hidesRecords) await this.waitForRecord(waitMs);
    this.answerRecords(response, this.hidesRecords ? this.records.length : from);
  }

  private append(partition: string, body: Buffer, response: ServerResponse): void {
    const keyEnd = 5 + body.readUInt8(4);
    const keys = this.keyed.get(partition) ?? new Map<string, string>();
    keys.set(body.toString('utf8', 5, keyEnd), body.toString('base64', keyEnd));
    this.keyed.set(partition, keys);
    writeJson(response, 200, JSON.stringify({ offset: 0, end: 1 }));
  }

  private answerKeys(partition: string, response: ServerResponse): void {
    const items = [...(this.keyed.get(partition) ?? [])].map(([key, value]) => ({ key, value, offset: 0 }));
    const strange = this.strangeItems;
    writeJson(response, 200, JSON.stringify({ items: [...strange, ...items], more: false, end: 1 }));
  }

  private answerNewest(response: ServerResponse, after: string | null): void {
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

  /** The operators' keys behind one, which need not be there. */
  private listKeysAfter(
    after: string | null,
  ): [string, { readonly value: string; readonly offset: number }][] {
    const keys = [...this.operatorKeys];
    if (after === null) return keys;
    const at = keys.findIndex(([key]) => key === after);
    return at >= 0 ? keys.slice(at + 1) : keys.filter(([key]) => key > after);
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

/** Writes an answer in parts, as a thin link carries it. */
async function writeSlowly(response: ServerResponse, text: string, bytesPerMs: number): Promise<void> {
  response.writeHead(200, { 'content-type': 'application/json' });
  const part = Math.ceil(bytesPerMs * PART_MS);
  for (let at = 0; at < text.length && !response.destroyed; at += part) {
    response.write(text.slice(at, at + part));
    await sleep(PART_MS);
  }
  response.end();
}
