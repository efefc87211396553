/** Fuzz tests of the parsers of external input: no exceptions, bounded time, round trips of valid values. */
import { expect } from 'chai';
import * as fc from 'fast-check';

import { parseHeartbeat } from '../platform/parseHeartbeat.js';
import { parseConfiguration } from '../platform/parseConfiguration.js';
import { parseJob } from '../platform/parseJob.js';
import { parseLogRecords } from '../platform/parseLogRecords.js';
import { buildLogRecord } from '../platform/buildLogRecord.js';
import { parseNewest } from '../platform/parseNewest.js';
import { PlatformError } from '../src/_lib/errors.js';
import { parsePeerMessage } from '../src/connection/peer/parsePeerMessage.js';
import { MESSAGE_SCHEMAS } from '../src/connection/peer/peerSchemas.js';
import { checkDispatchSettings } from '../src/process/settings/readDispatchSettings.js';
import { buildValidatorModules } from '../bench/buildValidatorModules.js';
import { HEARTBEAT } from './fakes/upstreamFixtures.js';
import { readFile } from 'node:fs/promises';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
/** `FUZZ_RUNS` and `FUZZ_SEED` are for manual runs; CI uses fixed values and measures no time. */
const { FUZZ_RUNS, FUZZ_SEED } = process.env;
const RUNS = Number(FUZZ_RUNS ?? 10_000);
const SEED = Number(FUZZ_SEED ?? 18);
/** Longest CPU time to parse one input in manual runs, ms. */
const MAX_CPU_MS = 50;

const JOB = {
  spec: 'text',
  steps: [
    { count: 2, cpu: 500, mem_mb: 10, gpu: 0, estimate_ms: 30, after: [] as number[], affinity: 'r1' },
    { count: 1, cpu: 500, mem_mb: 10, estimate_ms: 30, after: [0], requirements: 'a' },
  ],
  best_effort: true,
};
const ROUTE = { name: 'r', host: 'A.example', path_prefix: '/q/', service: 's', priority: 1, stretch: 1.6 };
const CONFIGURATION = { version: 3, routes: [ROUTE], limits: { max_body_bytes: 9, idle_timeout_ms: 9 } };
const START = {
  type: 'start',
  name: { job: 'j', step: 0, index: 1, attempt: 2 },
  service: 's',
  spec: 't',
  resources: { cpuMilli: 1, memoryMb: 1, gpus: 0 },
  estimateMs: 1,
  rank: -3,
  expiresAt: 4.5,
};

/** Returns a value with one scalar replaced. */
function mutate(value: unknown, at: number, to: unknown): unknown {
  const text = JSON.stringify(value);
  const places = [...text.matchAll(/(?<=:|\[|,)(?:"[^"]*"(?!:)|-?[0-9.]+|true|false|\{|\[)/g)];
  const place = places[at % Math.max(1, places.length)];
  if (!place) return value;
  const [old] = place;
  if (old === '{' || old === '[') return value;
  const begin = place.index;
  try {
    return JSON.parse(text.slice(0, begin) + JSON.stringify(to) + text.slice(begin + old.length));
  } catch {
    return value;
  }
}

const ANY_TEXT = fc.oneof(
  fc.json(),
  fc.string(),
  fc.constantFrom('null', '[]', '{"steps":[null]}', '{"steps":[{"after":[9]}]}', '{"routes":[1]}', '1e999'),
);
const INVALID_VALUE = fc.oneof(
  fc.constantFrom(null, -1, 1.5, 1e308, '', [], {}, true, 'y'.repeat(5_000), [[]], -0),
  fc.jsonValue(),
);

function parseAll(text: string): void {
  parseJob(text);
  parseConfiguration(text);
  parseHeartbeat('i', text);
  parsePeerMessage(text);
  try {
    parseNewest(Buffer.from(text));
  } catch (error) {
    expect(error).to.be.instanceOf(PlatformError);
  }
}

function parseInTime(text: string): void {
  const before = process.cpuUsage();
  parseAll(text);
  if (FUZZ_RUNS === undefined) return;
  const { user, system } = process.cpuUsage(before);
  expect((user + system) / 1_000, text).to.be.lessThan(MAX_CPU_MS);
}

describe('parsers of external input', function () {
  this.timeout(300_000);

  it('parse any text without an exception', () => {
    fc.assert(fc.property(ANY_TEXT, parseInTime), { numRuns: RUNS, seed: SEED });
  });

  it('parse mutated and truncated inputs without an exception', () => {
    const valid = fc.constantFrom<unknown>(JOB, HEARTBEAT, CONFIGURATION, START);
    const property = fc.property(valid, fc.nat(60), INVALID_VALUE, fc.nat(400), (value, at, to, cut) => {
      const text = JSON.stringify(mutate(value, at, to));
      parseInTime(text);
      parseInTime(text.slice(0, cut));
    });
    fc.assert(property, { numRuns: RUNS, seed: SEED });
  });

  it('throw only RangeErrors for truncated and corrupted log records', () => {
    const property = fc.property(fc.string(), fc.string(), fc.nat(80), fc.nat(255), (key, text, at, byte) => {
      const record = buildLogRecord(key.slice(0, 20), text);
      const body = Buffer.concat([Buffer.alloc(16), record]);
      if (at < body.length) body[at] = byte;
      for (const bytes of [body, body.subarray(0, at)]) {
        try {
          parseLogRecords(bytes);
        } catch (error) {
          expect(error).to.be.instanceOf(RangeError);
        }
      }
    });
    fc.assert(property, { numRuns: RUNS, seed: SEED });
  });

  it('parse valid values as they were written', () => {
    const job = parseJob(JSON.stringify(JOB));
    expect(job).to.deep.include({ kind: 'job', spec: 'text' });
    expect(job.kind === 'job' && job.steps.map(({ count, after }) => [count, after])).to.deep.equal([
      [2, []],
      [1, [0]],
    ]);
    expect(parseHeartbeat('i', JSON.stringify(HEARTBEAT)).report).to.deep.include({ id: 'i', sequence: 7 });
    const { configuration, findings } = parseConfiguration(JSON.stringify(CONFIGURATION));
    expect([configuration?.version, configuration?.routes[0]?.host, findings]).to.deep.equal([
      3,
      'a.example',
      [],
    ]);
    expect(parsePeerMessage(JSON.stringify(START)).message).to.deep.equal(START);
    const notice = { type: 'cancelled', jobs: [{ job: 'j', ageMs: 4 }] };
    expect(parsePeerMessage(JSON.stringify(notice)).message).to.deep.equal(notice);
    const invalid = { type: 'cancelled', jobs: [{ job: 'j', ageMs: -1 }] };
    const { message, faults, problem } = parsePeerMessage(JSON.stringify(invalid));
    expect([message, problem]).to.deep.equal([{ type: 'cancelled', jobs: [] }, '']);
    expect(faults).to.have.length(1);
    expect(faults[0]?.problem).to.include('/ageMs');
  });

  it('keep the valid routes of a configuration and report the invalid one', () => {
    const routes = [ROUTE, { ...ROUTE, priority: 'high' }, { ...ROUTE, name: 'later' }];
    const { configuration, findings } = parseConfiguration(JSON.stringify({ ...CONFIGURATION, routes }));
    expect(configuration?.routes.map(({ name }) => name)).to.deep.equal(['r', 'later']);
    expect(findings.map(({ pointer }) => pointer)).to.deep.equal(['/routes/1/priority']);
  });

  it('ignore messages and fields of newer versions', () => {
    expect(parsePeerMessage('{"type":"later"}')).to.deep.equal({
      message: undefined,
      faults: [],
      problem: '',
    });
    expect(parsePeerMessage(JSON.stringify({ ...START, extra: 1 }))).to.deep.equal({
      message: START,
      faults: [],
      problem: '',
    });
    const { message, faults } = parsePeerMessage(JSON.stringify({ ...START, rank: 'x' }));
    expect([message, faults[0]?.starts]).to.deep.equal([undefined, [START.name]]);
    expect(faults[0]?.problem).to.include('/rank');
    expect(Object.keys(MESSAGE_SCHEMAS)).to.have.length(21);
  });

  it('report every finding in settings', () => {
    const check = checkDispatchSettings({ id: 'a b', address: '', linkPort: 0 });
    const pointers = check.ok ? [] : check.findings.map(({ pointer }) => pointer);
    expect(pointers).to.have.members(['/id', '/address', '/linkPort']);
  });

  it('match the validators that are generated from the schemas', async () => {
    for (const { file, text } of await buildValidatorModules()) {
      expect(await readFile(path.join(ROOT, file), 'utf8'), file).to.equal(text);
    }
  });
});
