/**
 * JSON schemas of the messages in `peerMessages.ts`. Fields that are not listed are removed, so that newer versions may
 * add some, and none of unknown form is kept or passed on. `bench/generateValidators.ts` generates the validators.
 *
 * Each message lists which of its parts stand alone, so that one that cannot be read costs only itself.
 */

import { MAX_COUNT, MAX_RESOURCE_AMOUNT, PORT_PATTERN } from '../schemaBounds.js';
import type { WireMessage } from './peerMessages.js';

const TEXT = { type: 'string' } as const;
const COUNT = { type: 'integer', minimum: 0, maximum: MAX_COUNT } as const;
/** Version or revision; -1 for none. */
const VERSION = { type: 'integer', minimum: -1, maximum: MAX_COUNT } as const;
const AMOUNT = { type: 'integer', minimum: -1_000_000_000_000, maximum: 1_000_000_000_000 } as const;
const RESOURCE_AMOUNT = { type: 'integer', minimum: 0, maximum: MAX_RESOURCE_AMOUNT } as const;
const FINITE = { type: 'number' } as const;
const DURATION = { type: 'number', minimum: 0 } as const;

type Properties = Readonly<Record<string, unknown>>;

/** Builds the schema of an object whose fields are required, except for those of `optional`. */
function buildObject(
  properties: Properties,
  optional: Properties = {},
): { readonly properties: Properties } & Record<string, unknown> {
  return { type: 'object', required: Object.keys(properties), properties: { ...properties, ...optional } };
}

function buildResources(amount: object): object {
  return buildObject({ cpuMilli: amount, memoryMb: amount, gpus: amount });
}

function buildList(items: object): object {
  return { type: 'array', items };
}

/** Schema of the name of an attempt. */
export const NAME = buildObject({ job: TEXT, step: COUNT, index: COUNT, attempt: COUNT });
const PLACE = buildObject({
  address: { type: 'string', pattern: `^[0-9A-Za-z.\\-]+:${PORT_PATTERN}$` },
  failureDomain: TEXT,
});
const ATTEMPT_END = { enum: ['done', 'failed', 'stopped', 'lost', 'not-run'] } as const;
const RESULT = buildObject({
  type: { const: 'result' },
  name: NAME,
  end: ATTEMPT_END,
  reason: TEXT,
});
const DESCRIPTION = buildObject(
  { upstream: TEXT, service: TEXT, labels: buildList(TEXT), capacity: buildResources(RESOURCE_AMOUNT) },
  { largest: buildResources(RESOURCE_AMOUNT) },
);
const ROOM = buildObject(
  {
    state: { enum: ['absent', 'joining', 'ready', 'silent', 'draining'] },
    trust: { enum: ['healthy', 'probation', 'suspect'] },
    free: buildResources(AMOUNT),
    startsSeen: COUNT,
    speed: { type: 'number', minimum: 0 },
  },
  {
    description: DESCRIPTION,
    isHome: { type: 'boolean' },
    isRecalled: { type: 'boolean' },
    isUpstreamDraining: { type: 'boolean' },
  },
);
const EARLIER_CAPACITY = buildObject({
  upstream: TEXT,
  capacity: buildResources(RESOURCE_AMOUNT),
  ageMs: { type: 'number', minimum: 0 },
});
const CRASHED = buildObject({
  job: TEXT,
  step: COUNT,
  index: COUNT,
  estimateMs: { type: 'number', minimum: 0 },
  ranMs: { type: 'number', minimum: 0 },
  isIsolated: { type: 'boolean' },
});
const SUSPECT = buildObject({
  job: TEXT,
  step: COUNT,
  index: COUNT,
  revision: COUNT,
  crashes: COUNT,
  blames: COUNT,
  proofs: COUNT,
});
const CANCELLED = buildObject({ job: TEXT, ageMs: COUNT });
const START_TASK = buildObject({
  step: COUNT,
  index: COUNT,
  attempt: COUNT,
  resources: buildResources(RESOURCE_AMOUNT),
  estimateMs: { type: 'number', minimum: 0 },
});
const PROGRESS = buildObject({
  name: NAME,
  percent: { type: 'number', minimum: 0, maximum: 100 },
  stalledMs: FINITE,
});
const ROUTE = buildObject({
  name: TEXT,
  host: TEXT,
  pathPrefix: TEXT,
  service: TEXT,
  priority: COUNT,
  maxAttempts: COUNT,
  stretch: FINITE,
  targetLatencyMs: FINITE,
  needsAdvice: { type: 'boolean' },
});
const CONFIGURATION = buildObject({
  version: COUNT,
  routes: buildList(ROUTE),
  limits: buildObject({ maxBodyBytes: COUNT, headerTimeoutMs: COUNT, idleTimeoutMs: COUNT }),
});

/** Members that can't be dialed are left out by the parser, as they are not the sender's own. */
const MEMBER = buildObject({ address: TEXT, failureDomain: TEXT });

/** Field that is replaced by a value when it cannot be read. */
interface ReplaceableField {
  readonly schema: object;
  readonly replacement: unknown;
}

/** Schema of a message, by what an unreadable part of it costs. */
export interface MessageSchema {
  /** Fields without which the message has no meaning: it is left out. */
  readonly required: Properties;
  /** Fields that are left out. */
  readonly optional: Properties;
  /** Fields that are replaced. */
  readonly replaceable: Readonly<Record<string, ReplaceableField>>;
  /** Lists of which single rows are left out: schema of a row. One that may be absent is listed in `optional` too. */
  readonly rows: Properties;
}

function buildMessage(required: Properties, parts: Partial<MessageSchema> = {}): MessageSchema {
  return { optional: {}, replaceable: {}, rows: {}, ...parts, required };
}

const LIST = { type: 'array' } as const;
/** Version or revision of a peer that is not known. */
const UNKNOWN_VERSION = { schema: VERSION, replacement: -1 } as const;

/** Schemas by message type. */
export const MESSAGE_SCHEMAS: Readonly<Record<WireMessage['type'], MessageSchema>> = {
  'agent-hello': buildMessage(
    { agent: TEXT, life: TEXT, failureDomain: TEXT, entryLife: TEXT, orphanMs: DURATION },
    {
      optional: { takesBatches: { type: 'boolean' }, linkNumber: COUNT },
      rows: { holding: NAME, results: RESULT },
    },
  ),
  'entry-welcome': buildMessage(
    { entry: TEXT, life: TEXT, place: PLACE },
    { optional: { lagMs: COUNT, earlierCapacity: EARLIER_CAPACITY } },
  ),
  'entry-hello': buildMessage({ entry: TEXT, place: PLACE }),
  ping: buildMessage(
    { at: FINITE },
    {
      replaceable: { version: UNKNOWN_VERSION },
      optional: {
        emptiedRevision: VERSION,
        echoMs: FINITE,
        reportAgeMs: DURATION,
        room: ROOM,
        progress: LIST,
      },
      rows: { progress: PROGRESS },
    },
  ),
  pong: buildMessage(
    { at: FINITE },
    {
      replaceable: {
        version: UNKNOWN_VERSION,
        typicalSpeed: { schema: { type: 'number', minimum: 0 }, replacement: 1 },
        isWaiting: { schema: { type: 'boolean' }, replacement: false },
      },
      optional: { waitingCpuMilli: RESOURCE_AMOUNT, emptiedRevision: VERSION, lagMs: COUNT },
    },
  ),
  demand: buildMessage({}, { optional: { waitingCpuMilli: RESOURCE_AMOUNT } }),
  room: buildMessage({ at: FINITE, room: ROOM }),
  start: buildMessage(
    {
      name: NAME,
      service: TEXT,
      spec: TEXT,
      resources: buildResources(RESOURCE_AMOUNT),
      estimateMs: DURATION,
      rank: FINITE,
      expiresAt: FINITE,
    },
    { optional: { isSuspect: { type: 'boolean' } } },
  ),
  starts: buildMessage(
    { job: TEXT, service: TEXT, spec: TEXT, rank: FINITE, expiresAt: FINITE },
    { rows: { tasks: START_TASK } },
  ),
  stop: buildMessage({ name: NAME }, { optional: { givenUpMs: DURATION } }),
  // Whatever the end was, the attempt is over.
  result: buildMessage(
    { name: NAME },
    {
      replaceable: {
        end: { schema: ATTEMPT_END, replacement: 'lost' },
        reason: { schema: TEXT, replacement: 'unreadable' },
      },
    },
  ),
  crashes: buildMessage({}, { rows: { tasks: CRASHED } }),
  suspects: buildMessage({}, { rows: { tasks: SUSPECT } }),
  cancelled: buildMessage({}, { rows: { jobs: CANCELLED } }),
  'configuration-request': buildMessage(
    {},
    { optional: { version: COUNT, position: COUNT, length: COUNT, isUrgent: { type: 'boolean' } } },
  ),
  configuration: buildMessage({ configuration: CONFIGURATION }),
  'configuration-summary': buildMessage(
    { version: COUNT },
    { optional: { services: buildList(TEXT), length: COUNT } },
  ),
  'configuration-piece': buildMessage({ version: COUNT, position: COUNT, length: COUNT, text: TEXT }),
  'emptied-request': buildMessage({}),
  emptied: buildMessage({ emptied: buildObject({ revision: COUNT, domains: buildList(TEXT) }) }),
  members: buildMessage({}, { rows: { entries: MEMBER } }),
};

/**
 * Builds the schema that a message must match for any of it to be used; its other parts are not checked by it.
 *
 * @param schema - schema of the message
 * @returns JSON schema of the whole message
 */
export function buildOuterSchema({ required, optional, replaceable, rows }: MessageSchema): object {
  const lists = Object.keys(rows).filter((field) => !Object.hasOwn(optional, field));
  const anyValue = [...Object.keys(optional), ...Object.keys(replaceable)].map((field) => [field, {}]);
  return buildObject(
    { type: TEXT, ...required, ...Object.fromEntries(lists.map((field) => [field, LIST])) },
    Object.fromEntries(anyValue),
  );
}
