/**
 * Heartbeats and records of foreign writers: missing fields, wrong types, unknown states or services, invalid bytes. They
 * must add no upstream and must not disturb valid ones.
 */
import { expect } from 'chai';

import { HttpUpstreamRegistry } from '../platform/HttpUpstreamRegistry.js';
import { LogConfigurationSource } from '../platform/LogConfigurationSource.js';
import { LogUpstreamReportStore } from '../platform/LogUpstreamReportStore.js';
import { HEARTBEAT_PREFIX, DEREGISTER_PREFIX } from '../platform/names.js';
import type { UpstreamReport } from '../src/ports/UpstreamRegistry.js';
import { OperatorExchange } from '../src/process/OperatorExchange.js';
import { PlatformBench } from './fakes/PlatformBench.js';
import { HEARTBEAT } from './fakes/upstreamFixtures.js';
import { StoreStandin } from '../standins/protocol/StoreStandin.js';
import { createInputGuard } from './fakes/createInputGuard.js';

/** Required fields of a heartbeat. */
const REQUIRED_FIELDS = [
  'service',
  'address',
  'zone',
  'version',
  'slots',
  'state',
  'capacity',
  'labels',
  'cold_remaining_ms',
];
/** Required numbers of a heartbeat; a missing one must not count as 0. */
const REQUIRED_NUMBERS = ['clock_ms', 'call_seq'];
/** Loopback address of this process, so that no other process uses the port. */
const CONTROL = `127.41.${process.pid % 250}.1:8166`;
/** Value of a type that no field has. */
const INVALID = { odd: true };
/** Invalid UTF-8. */
const UNREADABLE = Buffer.from([0x7b, 0x22, 0xff, 0xfe, 0x22, 0x3a, 0x31, 0x7d]);

describe('foreign writers', function () {
  this.timeout(60_000);

  describe('that send heartbeats', () => {
    let registry: HttpUpstreamRegistry;
    let reports: UpstreamReport[];
    let left: string[];
    let rejected: number;

    beforeEach(async () => {
      reports = [];
      left = [];
      rejected = 0;
      registry = new HttpUpstreamRegistry(CONTROL, createInputGuard());
      await registry.start({
        report: (report) => void reports.push(report),
        leave: (id) => void left.push(id),
        recordRejected: () => void (rejected += 1),
        recordFailure: (call, error) => {
          throw new Error(call, { cause: error });
        },
      });
    });

    afterEach(() => registry.stop());

    async function send(path: string, body: Buffer | string): Promise<number> {
      const { status } = await fetch(`http://${CONTROL}${path}`, { method: 'POST', body });
      return status;
    }

    it('add no upstream', async () => {
      const bodies: (Buffer | string)[] = [UNREADABLE, Buffer.from([0]), '', 'null', '[]', '{', '"ready"'];
      for (const field of [...REQUIRED_FIELDS, ...REQUIRED_NUMBERS]) {
        bodies.push(JSON.stringify({ ...HEARTBEAT, [field]: undefined }));
        bodies.push(JSON.stringify({ ...HEARTBEAT, [field]: null }));
      }
      for (const field of Object.keys(HEARTBEAT))
        bodies.push(JSON.stringify({ ...HEARTBEAT, [field]: INVALID }));
      bodies.push(JSON.stringify({ ...HEARTBEAT, state: 'paused' }));
      bodies.push(JSON.stringify({ ...HEARTBEAT, service: '' }));
      bodies.push(JSON.stringify({ ...HEARTBEAT, address: '10.0.0.1:99999' }));
      bodies.push(JSON.stringify({ ...HEARTBEAT, capacity: { mem_mb: 10 } }));
      for (const cpu of [-1, 1.5, 1e12, '1000', null]) {
        bodies.push(JSON.stringify({ ...HEARTBEAT, capacity: { ...HEARTBEAT.capacity, cpu } }));
      }
      bodies.push(JSON.stringify({ ...HEARTBEAT, labels: ['a', 5] }));
      bodies.push(JSON.stringify({ ...HEARTBEAT, born: 1.5 }));
      const bytes = Buffer.from(JSON.stringify(HEARTBEAT));
      bytes[bytes.indexOf('"s"') + 1] = 0xff;
      bodies.push(bytes);
      for (const body of bodies)
        expect(await send(`${HEARTBEAT_PREFIX}i-1`, body), String(body)).to.equal(400);
      expect(await send(HEARTBEAT_PREFIX, JSON.stringify(HEARTBEAT))).to.equal(400);
      expect(await send(`${DEREGISTER_PREFIX}i-1`, UNREADABLE)).to.equal(400);
      expect([reports, left, rejected]).to.deep.equal([[], [], bodies.length + 2]);
      expect(await send(`${HEARTBEAT_PREFIX}i-1`, JSON.stringify({ ...HEARTBEAT, new: INVALID }))).to.equal(
        200,
      );
      expect(reports.map(({ id }) => id)).to.deep.equal(['i-1']);
    });
  });

  describe('that send heartbeats to an executor with a working upstream', () => {
    const WIDE = 8;
    let bench: PlatformBench;

    beforeEach(async () => {
      bench = new PlatformBench(1, 2, 20_000);
      await bench.start();
    });

    afterEach(() => bench.stop());

    it('leave that upstream in use', async () => {
      const later = { ...HEARTBEAT, call_seq: 1_000_000, address: '127.0.0.1:9' };
      const nobody = { ...later, service: 'nobody' };
      await bench.waitFor(async () => {
        await bench.sendHeartbeat('agent-1', 'i-9', nobody);
        return bench.readOutput('agent-1').includes('of an unknown service');
      }, 'that the executor has the services of queues');
      const bodies = [
        nobody,
        { ...later, service: 'service', state: 'paused' },
        { ...later, service: 'service', born: undefined },
        { ...later, service: 'service', born: Date.now() * 2 },
      ];
      const statuses: number[] = [];
      for (const id of ['i-1', 'i-9']) {
        for (const body of bodies) statuses.push(await bench.sendHeartbeat('agent-1', id, body));
      }
      expect(statuses).to.deep.equal([200, 400, 200, 200, 200, 400, 200, 200]);
      for (let round = 0; round < 3; round += 1) {
        expect((await bench.submit('entry-1', `job${round}`, WIDE, 300)).status).to.equal(200);
      }
      expect(bench.startsByRunner.get('i-1')).to.be.greaterThan(0);
      expect([...bench.starts.values()].filter((count) => count !== 1)).to.deep.equal([]);
    });
  });

  describe('that write to the store', () => {
    let store: StoreStandin;
    let address: string;

    beforeEach(async () => {
      store = new StoreStandin();
      address = (await store.start('127.0.0.1', 0)).slice('http://'.length);
    });

    afterEach(() => store.stop());

    it('do not affect valid records of the operators', async () => {
      store.putConfiguration({ version: 3, routes: [] });
      store.putEvacuation('north');
      store.strangeItems.push(null, {}, { key: 5, value: '' }, { key: 'evacuate/west', value: 7 });
      const source = new LogConfigurationSource(address);
      const exchange = new OperatorExchange({
        changeConfiguration: () => undefined,
        changeEmptied: () => undefined,
      });
      const subjects = new Set<string>();
      source.start({
        adopt: (configuration) => exchange.adoptConfiguration(configuration, 'store'),
        adoptEmptied: (emptied) => exchange.adoptEmptied(emptied, 'store'),
        changeDomain: (change) => exchange.changeDomain(change, 'store'),
        reportFindings: (subject) => subjects.add(subject),
        reportState: () => undefined,
      });
      const waitFor = async (holds: () => boolean): Promise<void> => {
        while (!holds()) await new Promise((resolve) => setTimeout(resolve, 10));
      };
      try {
        await waitFor(() => exchange.configuration?.version === 3);
        expect(exchange.emptied?.domains).to.deep.equal(['north']);
        store.writeBytes('config', UNREADABLE);
        store.writeRecord('config', '{"version":"4","routes":[]}');
        store.writeRecord('config', '{"routes":[]}');
        store.writeBytes('evacuate/west', UNREADABLE);
        store.writeRaw(Buffer.alloc(0));
        store.writeRaw(Buffer.from([9, 0x61]));
        store.writeRaw(Buffer.from([2, 0xff, 0xfe, 0x7b, 0x7d]));
        store.putEvacuation('south');
        await waitFor(() => exchange.emptied?.domains.join() === 'north,south');
        expect(exchange.configuration?.version).to.equal(3);
        store.putConfiguration({ version: 5, routes: [] });
        await waitFor(() => exchange.configuration?.version === 5);
        expect([...subjects].sort()).to.deep.equal(['configuration', 'evacuation', 'record']);
      } finally {
        source.stop();
      }
    });

    it('do not affect a stored report', async () => {
      const reportStore = new LogUpstreamReportStore(address, 1);
      const report: UpstreamReport = {
        id: 'i-1',
        bornAt: 5,
        service: 's',
        address: '10.0.0.1:80',
        capacity: { cpuMilli: 1, memoryMb: 1, gpus: 0 },
        labels: [],
        isDraining: false,
        clockMs: 1,
        sequence: 1,
      };
      try {
        await reportStore.save('agent-1', report);
        store.strangeItems.push(null, { key: 5 }, { value: '' }, { key: 'agent-2', value: 7 });
        expect(await reportStore.load('agent-1')).to.deep.equal(report);
        expect(await reportStore.load('agent-3')).to.equal(undefined);
      } finally {
        reportStore.stop();
      }
    });
  });
});
