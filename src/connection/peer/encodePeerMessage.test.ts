/** Every type of message, with numbers of any size, is accepted as it is written. */
import { expect } from 'chai';
import fc from 'fast-check';

import { encodePeerMessage } from './encodePeerMessage.js';
import { parsePeerMessage } from './parsePeerMessage.js';
import type { WireMessage } from './peerMessages.js';

const SEED = 20261207;
const RUNS = 300;

/** Numbers that sums, differences, ratios and counts may come to. */
const EXTREME = fc.oneof(
  fc.constantFrom(NaN, Infinity, -Infinity, -0, -1, 0.5, 1e9 + 1, 1e13, 2 ** 52 + 2, 1e308, -1e308, 5e-324),
  fc.double(),
  fc.maxSafeInteger(),
);
const TEXT = fc.oneof(fc.string(), fc.string({ unit: 'binary' }), fc.constant('\ud800"\\\n\u2028'));
const FLAG = fc.boolean();

function orUndefined<T>(values: fc.Arbitrary<T>): fc.Arbitrary<T | undefined> {
  return fc.option(values, { nil: undefined });
}

const RESOURCES = fc.record({ cpuMilli: EXTREME, memoryMb: EXTREME, gpus: EXTREME });
const NAME = fc.record({ job: TEXT, step: EXTREME, index: EXTREME, attempt: EXTREME });
const PLACE = fc.record({
  address: fc.constantFrom('10.0.0.1:1', 'host-a.example:65535'),
  failureDomain: TEXT,
});
const END = fc.constantFrom('done', 'failed', 'stopped', 'lost', 'not-run');
const RESULT = fc.record({ type: fc.constant('result'), name: NAME, end: END, reason: TEXT });
const ROOM = fc.record({
  description: orUndefined(
    fc.record({ upstream: TEXT, service: TEXT, labels: fc.array(TEXT), capacity: RESOURCES }),
  ),
  state: fc.constantFrom('absent', 'joining', 'ready', 'silent', 'draining'),
  trust: fc.constantFrom('healthy', 'probation', 'suspect'),
  free: RESOURCES,
  startsSeen: EXTREME,
  speed: EXTREME,
  isHome: orUndefined(FLAG),
  isRecalled: orUndefined(FLAG),
  isUpstreamDraining: orUndefined(FLAG),
});
const TASK = { step: EXTREME, index: EXTREME };
const ROUTE = fc.record({
  name: TEXT,
  host: TEXT,
  pathPrefix: TEXT,
  service: TEXT,
  priority: EXTREME,
  maxAttempts: EXTREME,
  stretch: EXTREME,
  targetLatencyMs: EXTREME,
  needsAdvice: FLAG,
});
const LIMITS = fc.record({ maxBodyBytes: EXTREME, headerTimeoutMs: EXTREME, idleTimeoutMs: EXTREME });

/** Fields of each type of message. */
const FIELDS: Readonly<Record<WireMessage['type'], fc.Arbitrary<object>>> = {
  'agent-hello': fc.record({
    agent: TEXT,
    life: TEXT,
    failureDomain: TEXT,
    holding: fc.array(NAME),
    entryLife: TEXT,
    results: fc.array(RESULT),
    orphanMs: EXTREME,
    takesBatches: FLAG,
    linkNumber: orUndefined(EXTREME),
  }),
  'entry-welcome': fc.record({
    entry: TEXT,
    life: TEXT,
    place: PLACE,
    lagMs: orUndefined(EXTREME),
    earlierCapacity: orUndefined(fc.record({ upstream: TEXT, capacity: RESOURCES, ageMs: EXTREME })),
  }),
  'entry-hello': fc.record({ entry: TEXT, place: PLACE }),
  ping: fc.record({
    at: EXTREME,
    version: EXTREME,
    emptiedRevision: orUndefined(EXTREME),
    room: orUndefined(ROOM),
    echoMs: orUndefined(EXTREME),
    reportAgeMs: orUndefined(EXTREME),
    progress: orUndefined(fc.array(fc.record({ name: NAME, percent: EXTREME, stalledMs: EXTREME }))),
  }),
  pong: fc.record({
    at: EXTREME,
    version: EXTREME,
    emptiedRevision: orUndefined(EXTREME),
    typicalSpeed: EXTREME,
    isWaiting: FLAG,
    waitingCpuMilli: orUndefined(EXTREME),
    lagMs: orUndefined(EXTREME),
  }),
  demand: fc.record({ waitingCpuMilli: orUndefined(EXTREME) }),
  room: fc.record({ at: EXTREME, room: ROOM }),
  start: fc.record({
    name: NAME,
    service: TEXT,
    spec: TEXT,
    resources: RESOURCES,
    estimateMs: EXTREME,
    rank: EXTREME,
    expiresAt: EXTREME,
    isSuspect: orUndefined(FLAG),
  }),
  starts: fc.record({
    job: TEXT,
    service: TEXT,
    spec: TEXT,
    rank: EXTREME,
    expiresAt: EXTREME,
    tasks: fc.array(fc.record({ ...TASK, attempt: EXTREME, resources: RESOURCES, estimateMs: EXTREME })),
  }),
  stop: fc.record({ name: NAME, givenUpMs: orUndefined(EXTREME) }),
  result: RESULT,
  crashes: fc.record({
    tasks: fc.array(fc.record({ job: TEXT, ...TASK, estimateMs: EXTREME, ranMs: EXTREME, isIsolated: FLAG })),
  }),
  suspects: fc.record({
    tasks: fc.array(
      fc.record({
        job: TEXT,
        ...TASK,
        revision: EXTREME,
        crashes: EXTREME,
        blames: EXTREME,
        proofs: EXTREME,
      }),
    ),
  }),
  cancelled: fc.record({ jobs: fc.array(fc.record({ job: TEXT, ageMs: EXTREME })) }),
  'configuration-request': fc.record({
    version: orUndefined(EXTREME),
    position: orUndefined(EXTREME),
    length: orUndefined(EXTREME),
    isUrgent: orUndefined(FLAG),
  }),
  configuration: fc.record({
    configuration: fc.record({ version: EXTREME, routes: fc.array(ROUTE), limits: LIMITS }),
  }),
  'configuration-summary': fc.record({
    version: EXTREME,
    services: orUndefined(fc.array(TEXT)),
    length: orUndefined(EXTREME),
  }),
  'configuration-piece': fc.record({ version: EXTREME, position: EXTREME, length: EXTREME, text: TEXT }),
  'emptied-request': fc.constant({}),
  emptied: fc.record({ emptied: fc.record({ revision: EXTREME, domains: fc.array(TEXT) }) }),
  members: fc.record({ entries: fc.array(PLACE) }),
};

describe('encodePeerMessage', () => {
  for (const [type, fields] of Object.entries(FIELDS)) {
    // The sum of what waited exceeded its schema: each link was closed by its first pong, for as long as it waited.
    it(`writes what a receiver accepts: ${type}`, () => {
      const property = fc.property(fields, (values) => {
        const message = { type, ...values } as unknown as WireMessage;
        const { line, faults } = encodePeerMessage(message);
        const parsed = parsePeerMessage(line);
        expect(parsed.problem).to.equal('');
        expect(parsed.faults).to.deep.equal([]);
        expect(parsed.message).to.not.equal(undefined);
        if (faults.length === 0) expect(parsed.message).to.deep.equal(JSON.parse(JSON.stringify(message)));
      });
      fc.assert(property, { numRuns: RUNS, seed: SEED });
    });
  }

  it('names the fields that had to be bounded, and leaves the message as it is', () => {
    const message = { type: 'demand', waitingCpuMilli: Infinity } as const;
    expect(encodePeerMessage(message)).to.deep.equal({
      line: '{"type":"demand","waitingCpuMilli":1000000000}',
      faults: [{ type: 'demand', field: 'waitingCpuMilli', count: 1, problem: 'is out of bounds' }],
    });
    expect(message.waitingCpuMilli).to.equal(Infinity);
  });

  it('bounds by bytes, not by characters', () => {
    const entry = { address: '10.0.0.1:1', failureDomain: '\u20ac'.repeat(1_398_000) };
    expect(encodePeerMessage({ type: 'members', entries: [entry] }).line).to.not.equal('');
    const longer = { ...entry, failureDomain: '\u20ac'.repeat(1_399_000) };
    expect(encodePeerMessage({ type: 'members', entries: [longer] })).to.deep.include({ line: '' });
  });
});
