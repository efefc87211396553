/**
 * JSON schemas of the messages in `peerMessages.ts`. Fields that are not listed are removed, so that newer versions may
 * add some, and none of unknown form is kept or passed on. `bench/generateValidators.ts` generates the validators.
 */

import { MAX_COUNT, PORT_PATTERN } from '../schemaBounds.js';

const TEXT = { type: 'string' } as const;
const COUNT = { type: 'integer', minimum: 0, maximum: MAX_COUNT } as const;
/** Version or revision; -1 for none. */
const VERSION = { type: 'integer', minimum: -1, maximum: MAX_COUNT } as const;
const AMOUNT = { type: 'integer', minimum: -1_000_000_000_000, maximum: 1_000_000_000_000 } as const;
const RESOURCE_AMOUNT = { type: 'integer', minimum: 0, maximum: 1_000_000_000 } as const;
const FINITE = { type: 'number' } as const;

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

const NAME = buildObject({ job: TEXT, step: COUNT, index: COUNT, attempt: COUNT });
const PLACE = buildObject({
  address: { type: 'string', pattern: `^[0-9A-Za-z.\\-]+:${PORT_PATTERN}$` },
  failureDomain: TEXT,
});
const RESULT = buildObject({
  type: { const: 'result' },
  name: NAME,
  end: { enum: ['done', 'failed', 'stopped', 'lost', 'not-run'] },
  reason: TEXT,
});
const DESCRIPTION = buildObject({
  upstream: TEXT,
  service: TEXT,
  labels: buildList(TEXT),
  capacity: buildResources(RESOURCE_AMOUNT),
});
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

/** Schemas by message type, without the type itself. */
const BODIES: Readonly<Record<string, { readonly properties: Properties }>> = {
  'agent-hello': buildObject(
    {
      agent: TEXT,
      life: TEXT,
      failureDomain: TEXT,
      holding: buildList(NAME),
      entryLife: TEXT,
      results: buildList(RESULT),
      orphanMs: { type: 'number', minimum: 0 },
    },
    { takesBatches: { type: 'boolean' }, linkNumber: COUNT },
  ),
  'entry-welcome': buildObject(
    { entry: TEXT, life: TEXT, place: PLACE },
    { lagMs: COUNT, earlierCapacity: EARLIER_CAPACITY },
  ),
  'entry-hello': buildObject({ entry: TEXT, place: PLACE }),
  ping: buildObject(
    { at: FINITE, version: VERSION },
    { emptiedRevision: VERSION, echoMs: FINITE, room: ROOM, progress: buildList(PROGRESS) },
  ),
  pong: buildObject(
    {
      at: FINITE,
      version: VERSION,
      typicalSpeed: { type: 'number', minimum: 0 },
      isWaiting: { type: 'boolean' },
    },
    { waitingCpuMilli: RESOURCE_AMOUNT, emptiedRevision: VERSION, lagMs: COUNT },
  ),
  demand: buildObject({}, { waitingCpuMilli: RESOURCE_AMOUNT }),
  room: buildObject({ at: FINITE, room: ROOM }),
  start: buildObject(
    {
      name: NAME,
      service: TEXT,
      spec: TEXT,
      resources: buildResources(RESOURCE_AMOUNT),
      estimateMs: { type: 'number', minimum: 0 },
      rank: FINITE,
      expiresAt: FINITE,
    },
    { isSuspect: { type: 'boolean' } },
  ),
  starts: buildObject({
    job: TEXT,
    service: TEXT,
    spec: TEXT,
    rank: FINITE,
    expiresAt: FINITE,
    tasks: buildList(START_TASK),
  }),
  stop: buildObject({ name: NAME }, { givenUpMs: { type: 'number', minimum: 0 } }),
  result: RESULT,
  crashes: buildObject({ tasks: buildList(CRASHED) }),
  suspects: buildObject({ tasks: buildList(SUSPECT) }),
  cancelled: buildObject({ jobs: buildList(CANCELLED) }),
  'configuration-request': buildObject(
    {},
    { version: COUNT, position: COUNT, length: COUNT, isUrgent: { type: 'boolean' } },
  ),
  configuration: buildObject({ configuration: CONFIGURATION }),
  'configuration-summary': buildObject({ version: COUNT }, { services: buildList(TEXT), length: COUNT }),
  'configuration-piece': buildObject({ version: COUNT, position: COUNT, length: COUNT, text: TEXT }),
  'emptied-request': buildObject({}),
  emptied: buildObject({ emptied: buildObject({ revision: COUNT, domains: buildList(TEXT) }) }),
  members: buildObject({ entries: buildList(MEMBER) }),
};

/** Schemas by message type. */
export const PEER_SCHEMAS: Readonly<Record<string, object>> = Object.fromEntries(
  Object.entries(BODIES).map(([type, body]) => [
    type,
    { ...body, properties: { type: TEXT, ...body.properties } },
  ]),
);
