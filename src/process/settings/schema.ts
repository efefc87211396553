/** Schemas and defaults of the settings files. The names of durations and sizes contain their units. */

const PORT = { type: 'integer', minimum: 0, maximum: 65_535 } as const;
const MS = { type: 'number', minimum: 0 } as const;
const COUNT = { type: 'integer', minimum: 1 } as const;

const listen = (httpPort: number, linkPort: number): object => ({
  type: 'object',
  additionalProperties: false,
  default: {},
  properties: {
    host: { type: 'string', default: '127.0.0.1' },
    httpPort: { ...PORT, default: httpPort },
    linkPort: { ...PORT, default: linkPort },
  },
});

const common = {
  id: { type: 'string', minLength: 1, maxLength: 64, pattern: '^[A-Za-z0-9._-]+$' },
  failureDomain: { type: 'string', minLength: 1, default: 'default' },
  platformUrl: { type: 'string', pattern: '^https?://', default: 'http://127.0.0.1:7410' },
  secret: { type: 'string', minLength: 8 },
  logLevel: { type: 'string', enum: ['trace', 'debug', 'info', 'warn', 'error', 'silent'], default: 'info' },
  decisionLog: { type: 'boolean', default: true },
  metrics: {
    type: 'object',
    additionalProperties: false,
    default: {},
    properties: {
      host: { type: 'string', default: '127.0.0.1' },
      port: { ...PORT, default: 0 },
      prefix: { type: 'string', default: 'marblehall.' },
    },
  },
  /** Longest duration of a planned stop. */
  drainTimeoutMs: { ...MS, default: 30_000 },
  /** Longest gap between turns; a longer one is a pause, after which leases are checked again. */
  pauseBoundMs: { ...MS, default: 1_000 },
  /** Memory of the VM; an eighth is for input of clients that are not admitted. */
  memoryMb: { type: 'integer', minimum: 64, default: 160 },
  /** Descriptors that the process may open; two thirds of those for sockets are for clients. */
  maxDescriptors: { type: 'integer', minimum: 300, default: 65_536 },
  /** Most memory of input of clients that are not admitted; 0 for an eighth of the memory. */
  maxInputBytes: { type: 'integer', minimum: 0, default: 0 },
  skewMs: { ...MS, default: 1_000 },
  leaseMs: { ...MS, default: 4_000 },
} as const;

/** Schema of an entry's settings. */
export const ENTRY_SCHEMA = {
  type: 'object',
  additionalProperties: false,
  required: ['id', 'secret'],
  properties: {
    ...common,
    listen: listen(7420, 7421),
    maxAgents: { ...COUNT, default: 64 },
    horizonMs: { ...MS, default: 110_000 },
    maxBodyBytes: { ...COUNT, default: 4 * 1024 * 1024 },
    maxCallers: { ...COUNT, default: 20_000 },
    maxActiveJobs: { ...COUNT, default: 20_000 },
    maxHeldBytes: { ...COUNT, default: 64 * 1024 * 1024 },
    heartbeatMs: { ...MS, default: 1_000 },
    removeAfterMs: { ...MS, default: 2_000 },
    takeoverAfterMs: { ...MS, default: 1_500 },
    agentLostMs: { ...MS, default: 2_500 },
    snapshotEvery: { ...COUNT, default: 200 },
    ordering: { type: 'string', enum: ['remaining-work', 'arrival'], default: 'remaining-work' },
    placement: { type: 'string', enum: ['credits', 'random'], default: 'credits' },
    admission: { type: 'string', enum: ['lateness', 'full-table'], default: 'lateness' },
    priorityStepMs: { ...MS, default: 100_000 },
    ageWeight: { ...MS, default: 0.2 },
    demandStepMs: { ...MS, default: 300 },
  },
} as const;

/** Schema of an agent's settings. */
export const AGENT_SCHEMA = {
  type: 'object',
  additionalProperties: false,
  required: ['id', 'secret'],
  properties: {
    ...common,
    listen: listen(7430, 7431),
    upstreamUrl: { type: 'string', pattern: '^https?://', default: 'http://127.0.0.1:7440' },
    slots: { ...COUNT, default: 8 },
    connections: { ...COUNT, default: 64 },
    overcommit: { type: 'integer', minimum: 0, default: 2 },
    registrar: { type: 'boolean', default: true },
    horizonMs: { ...MS, default: 120_000 },
    maxJobs: { ...COUNT, default: 100_000 },
    maxClaims: { ...COUNT, default: 200_000 },
    maxAnswerBytes: { ...COUNT, default: 32 * 1024 * 1024 },
    stickinessMs: { ...MS, default: 500 },
    requestTimeoutMs: { ...MS, default: 60_000 },
    proposeRepeatMs: { ...MS, default: 1_000 },
  },
} as const;

/** Schema of the stand-in platform's settings. */
export const PLATFORM_SCHEMA = {
  type: 'object',
  additionalProperties: false,
  properties: {
    host: { type: 'string', default: '127.0.0.1' },
    port: { ...PORT, default: 7410 },
    retainRecords: { ...COUNT, default: 10_000 },
    liveLagMs: { ...MS, default: 500 },
    liveExpireMs: { ...MS, default: 5_000 },
    appendMs: { ...MS, default: 3 },
  },
} as const;

/** Schema of the stand-in upstream's settings. */
export const UPSTREAM_SCHEMA = {
  type: 'object',
  additionalProperties: false,
  properties: {
    host: { type: 'string', default: '127.0.0.1' },
    port: { ...PORT, default: 7440 },
    slots: { ...COUNT, default: 8 },
    speed: { type: 'number', exclusiveMinimum: 0, default: 1 },
  },
} as const;
