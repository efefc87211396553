/** Crowds of clients that do not behave, with what they send. Sizes and texts are fixed; tests only select from them. */
import { DEADLINE_HEADER } from '../../platform/names.js';
import { joinParts, repeatPart } from './ClientCrowd.js';
import type { ClientInput } from './ClientCrowd.js';

/** One crowd at one listener. */
export interface CrowdCase {
  readonly title: string;
  readonly clients: number;
  readonly build: () => ClientInput;
  /** Whether a client whose connection is closed comes back at once. */
  readonly comesBack?: boolean;
}

/** Body size of the large bodies, bytes; just below the largest body that is accepted by default. */
const BODY_BYTES = 262_000;
const PART_BYTES = 65_536;
const TINY_CHUNK = '1\r\nx\r\n';
const HOST = 'a.example';
/** Length of a query that makes a header as long as it may be. */
const LONG_QUERY_BYTES = 15_000;
/** How long clients wait for the jobs that stay open, and their work, ms. */
const OPEN_PATIENCE_MS = 120_000;
const OPEN_JOB_MS = 30_000;

let nextJob = 0;

function buildHead(method: string, path: string, fields: readonly string[]): string {
  return [`${method} ${path} HTTP/1.1`, `host: ${HOST}`, ...fields, '', ''].join('\r\n');
}

function buildPost(field: string, path = `/q/crowd-${(nextJob += 1)}`): string {
  return buildHead('POST', path, ['content-type: application/json', field]);
}

/** Repeats a text in parts of some size. */
function* repeatText(text: string, count: number): Generator<string> {
  const perPart = Math.max(1, Math.floor(PART_BYTES / text.length));
  const whole = Math.floor(count / perPart);
  yield* repeatPart(text.repeat(perPart), whole);
  yield text.repeat(count - whole * perPart);
}

function sendTinyChunks(count: number, path?: string): ClientInput {
  return { parts: joinParts([buildPost('transfer-encoding: chunked', path)], repeatText(TINY_CHUNK, count)) };
}

function sendPiecemealChunks(count: number): ClientInput {
  const head = buildPost('transfer-encoding: chunked');
  return { parts: joinParts([head], repeatPart(TINY_CHUNK, count)), isPiecemeal: true };
}

function sendLargeChunks(bytes: number): ClientInput {
  const chunk = `${PART_BYTES.toString(16)}\r\n${'x'.repeat(PART_BYTES)}\r\n`;
  const whole = Math.floor(bytes / PART_BYTES);
  const rest = bytes - whole * PART_BYTES;
  const last = rest > 0 ? [`${rest.toString(16)}\r\n${'x'.repeat(rest)}\r\n`] : [];
  return { parts: joinParts([buildPost('transfer-encoding: chunked')], repeatPart(chunk, whole), last) };
}

function sendDeclaredLength(bytes: number, path?: string): ClientInput {
  return { parts: joinParts([buildPost(`content-length: ${bytes + 100}`, path)], repeatText('x', bytes)) };
}

/** Requests whose answers nobody reads. */
function sendPipelined(path: string, count: number): ClientInput {
  return { parts: repeatText(buildHead('GET', path, []), count), ignoresAnswers: true };
}

/** Requests behind a job that stays open; answers are sent in order, so none leaves before that of the job. */
function sendBehindJob(count: number): ClientInput {
  const steps = [{ count: 1, cpu: 1_000, mem_mb: 10, estimate_ms: OPEN_JOB_MS }];
  const body = JSON.stringify({ best_effort: true, spec: String(OPEN_JOB_MS), steps });
  const job = buildPost(`${DEADLINE_HEADER}: ${OPEN_PATIENCE_MS}\r\ncontent-length: ${body.length}`) + body;
  return { parts: joinParts([job], repeatText(buildHead('GET', '/q/', []), count)) };
}

/** Cancellings of jobs that nobody has submitted, each with a query that fills the header. */
function sendCancellings(count: number): ClientInput {
  const query = 'x'.repeat(LONG_QUERY_BYTES);
  const buildCancelling = (): string =>
    buildHead('DELETE', `/q/${(nextJob += 1).toString(16).padStart(16, '0')}?${query}`, []);
  return { parts: Array.from({ length: count }, buildCancelling) };
}

/** A body in one-byte chunks that no handler reads, behind a job that stays open. */
function sendUnreadBody(count: number): ClientInput {
  const [job = ''] = sendBehindJob(0).parts;
  const head = buildHead('GET', '/q/', ['transfer-encoding: chunked']);
  return { parts: [`${String(job)}${head}${TINY_CHUNK.repeat(count)}`] };
}

/** A header of many short lines, without its end. */
function sendHeaderLines(bytes: number): ClientInput {
  return { parts: [`GET /q/ HTTP/1.1\r\nhost: ${HOST}\r\n${repeatLine(bytes)}`] };
}

function repeatLine(bytes: number): string {
  const line = 'ab:cd\r\n';
  return line.repeat(Math.floor(bytes / line.length));
}

/** A whole header of many short lines, and no body. */
function sendLongHeader(bytes: number): ClientInput {
  return { parts: [buildPost(`${repeatLine(bytes)}content-length: 100`)] };
}

/** A body whose end is followed by many short lines, without their end. */
function sendTrailerLines(bytes: number): ClientInput {
  return { parts: [`${buildPost('transfer-encoding: chunked')}1\r\nx\r\n0\r\n${repeatLine(bytes)}`] };
}

function sendNothing(): ClientInput {
  return { parts: [] };
}

function sendLine(bytes: number): ClientInput {
  return { parts: repeatText('x', bytes) };
}

function sendPiecemealLine(bytes: number): ClientInput {
  return { parts: repeatPart('x', bytes), isPiecemeal: true };
}

/** Crowds at the address for callers. */
export const CALLER_CROWDS: readonly CrowdCase[] = [
  { title: 'bodies in one-byte chunks', clients: 60, build: () => sendTinyChunks(260_000) },
  { title: 'one-byte chunks, each written by itself', clients: 100, build: () => sendPiecemealChunks(8_000) },
  { title: 'bodies in large chunks', clients: 800, build: () => sendLargeChunks(BODY_BYTES) },
  { title: 'bodies with a declared length', clients: 800, build: () => sendDeclaredLength(BODY_BYTES) },
  {
    title: 'bodies that come again at once when they are closed',
    clients: 400,
    build: () => sendDeclaredLength(BODY_BYTES),
    comesBack: true,
  },
  {
    title: 'bodies that go on after their refusal',
    clients: 200,
    build: () => sendLargeChunks(16 * BODY_BYTES),
  },
  {
    title: 'pipelined requests whose answers nobody reads',
    clients: 200,
    build: () => sendPipelined('/q/', 40_000),
  },
  { title: 'pipelined requests behind an open job', clients: 100, build: () => sendBehindJob(20_000) },
  { title: 'bodies that nobody reads, behind an open job', clients: 200, build: () => sendUnreadBody(5_000) },
  { title: 'cancellings behind long queries', clients: 40, build: () => sendCancellings(300) },
  { title: 'headers without end', clients: 1_500, build: () => sendHeaderLines(16_000) },
  { title: 'long headers of bodies that never come', clients: 1_500, build: () => sendLongHeader(15_000) },
  { title: 'trailers without end', clients: 1_500, build: () => sendTrailerLines(15_000) },
];

/** Crowds at the readiness and the metrics address. */
export const READY_CROWDS: readonly CrowdCase[] = [
  { title: 'pipelined readiness checks', clients: 100, build: () => sendPipelined('/api/readiness', 40_000) },
  { title: 'bodies in one-byte chunks', clients: 100, build: () => sendTinyChunks(260_000, '/') },
];
export const METRICS_CROWDS: readonly CrowdCase[] = [
  { title: 'pipelined requests for metrics', clients: 100, build: () => sendPipelined('/metrics', 10_000) },
  { title: 'bodies in one-byte chunks', clients: 100, build: () => sendTinyChunks(260_000, '/') },
];

/** Crowds at the address for links. */
export const LINK_CROWDS: readonly CrowdCase[] = [
  { title: 'lines without end', clients: 100, build: () => sendLine(4_000_000) },
  {
    title: 'lines without end, each byte written by itself',
    clients: 100,
    build: () => sendPiecemealLine(8_000),
  },
];

/** Crowds at the address for reports of upstreams. */
export const REPORT_CROWDS: readonly CrowdCase[] = [
  {
    title: 'reports in one-byte chunks',
    clients: 200,
    build: () => sendTinyChunks(65_000, '/api/Instances.Heartbeat/i-9'),
  },
  {
    title: 'pipelined requests',
    clients: 200,
    build: () => sendPipelined('/api/Instances.Heartbeat/i-9', 40_000),
  },
];

/** A crowd that only connects. */
export const IDLE_CROWD: CrowdCase = { title: 'idle connections', clients: 600, build: sendNothing };

/** Crowds at the HTTP address of an entry or an agent of the own interface. */
export const OWN_CROWDS: readonly CrowdCase[] = [
  {
    title: 'bodies with a declared length',
    clients: 100,
    build: () => sendDeclaredLength(4_000_000, '/v1/commands'),
  },
  {
    title: 'bodies in one-byte chunks',
    clients: 20,
    build: () => sendTinyChunks(1_000_000, '/v1/commands'),
  },
  { title: 'pipelined requests', clients: 200, build: () => sendPipelined('/statsz', 20_000) },
];

/** Prefix of the jobs whose last byte never comes. */
export const CUT_JOB = 'cut-';

/** Whole jobs but for their last byte, each as large as a body may be. */
export const CUT_CROWD: CrowdCase = {
  title: 'jobs without their last byte',
  clients: 300,
  build: () => {
    const job = JSON.stringify({
      best_effort: true,
      spec: '30',
      steps: [{ count: 1, cpu: 1_000, mem_mb: 10 }],
    });
    const body = job.padStart(BODY_BYTES, ' ');
    const head = buildPost(`content-length: ${body.length}`, `/q/${CUT_JOB}${(nextJob += 1)}`);
    return { parts: joinParts([head], [body.slice(0, -1)]) };
  },
};

/** Crowds that fill a VM of 350 MB. */
export const FULL_CROWDS: readonly CrowdCase[] = [
  {
    title: 'bodies that fill a VM of the usual size',
    clients: 2_500,
    build: () => sendDeclaredLength(BODY_BYTES),
  },
  {
    title: 'one-byte chunks, each written by itself, at a VM of the usual size',
    clients: 2_000,
    build: () => sendPiecemealChunks(8_000),
  },
];
