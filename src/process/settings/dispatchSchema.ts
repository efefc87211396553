/**
 * Schema of the settings of dispatcher and executor. Every default stands here. Checked by generated code, see
 * `bench/generateValidators.ts`; lengths are checked by patterns, which need no code of Ajv at run time.
 */

const PORT = { type: 'integer', minimum: 1, maximum: 65_535 } as const;
const ADDRESS = { type: 'string', pattern: '^[0-9A-Za-z.\\-]+:[0-9]+$' } as const;
const OPTIONAL_ADDRESS = { type: 'string', pattern: '^([0-9A-Za-z.\\-]+:[0-9]+)?$', default: '' } as const;

/** Schema of `DispatchSettings`. */
export const DISPATCH_SCHEMA = {
  type: 'object',
  additionalProperties: false,
  required: ['id', 'address', 'linkPort'],
  properties: {
    id: { type: 'string', pattern: '^[A-Za-z0-9._-]{1,64}$' },
    failureDomain: { type: 'string', pattern: '.', default: 'default' },
    failureDomains: { type: 'array', items: { type: 'string' }, default: [] },
    service: { type: 'string', default: '' },
    address: { type: 'string', pattern: '.' },
    advertisedAddress: { type: 'string', default: '' },
    linkPort: PORT,
    seeds: { type: 'array', items: ADDRESS, default: [] },
    maxLinks: { type: 'integer', minimum: 1, default: 3 },
    smallFleet: { type: 'integer', minimum: 0, default: 6 },
    callerAddress: OPTIONAL_ADDRESS,
    readyAddress: OPTIONAL_ADDRESS,
    controlAddress: OPTIONAL_ADDRESS,
    storeAddress: OPTIONAL_ADDRESS,
    storePartitions: { type: 'integer', minimum: 1, default: 1 },
    metricsAddress: OPTIONAL_ADDRESS,
    logLevel: {
      type: 'string',
      enum: ['trace', 'debug', 'info', 'warn', 'error', 'silent'],
      default: 'info',
    },
    decisionLog: { type: 'boolean', default: true },
    graceSeconds: { type: 'number', minimum: 1, default: 6 },
    maxLeaseMs: { type: 'number', minimum: 1, default: 1_000 },
    stopMs: { type: 'number', minimum: 0, default: 50 },
    farFactor: { type: 'number', minimum: 1, default: 1.5 },
    linkMbps: { type: 'number', exclusiveMinimum: 0, default: 1_000 },
    taskOrder: { type: 'string', enum: ['deadline', 'fair'], default: 'deadline' },
    admission: { type: 'string', enum: ['patience', 'forecast'], default: 'patience' },
    roomSharing: { type: 'string', enum: ['open', 'demand'], default: 'open' },
    speedMeasure: { type: 'string', enum: ['mean', 'median'], default: 'mean' },
    crashLimit: { type: 'integer', minimum: 0, default: 0 },
    placement: { type: 'string', enum: ['spread', 'grouped', 'home'], default: 'home' },
    sendWindow: { type: 'string', enum: ['open', 'loss', 'delay'], default: 'delay' },
    resubmitMs: { type: 'number', minimum: 1, default: 1_300 },
    maxConnections: { type: 'integer', minimum: 1, default: 3_000 },
    maxOpenJobs: { type: 'integer', minimum: 1, default: 4_000 },
    maxOpenBytes: { type: 'integer', minimum: 1, default: 33_554_432 },
    maxJobTasks: { type: 'integer', minimum: 1, default: 2_000 },
    maxJobSteps: { type: 'integer', minimum: 1, default: 200 },
  },
} as const;
