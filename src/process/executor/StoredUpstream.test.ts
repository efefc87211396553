import { expect } from 'chai';

import { FakeClock } from '../../../test/fakes/FakeClock.js';
import { buildUpstreamReport } from '../../../test/fakes/upstreamFixtures.js';
import { UpstreamReportStore } from '../../ports/UpstreamReportStore.js';
import type { UpstreamReport } from '../../ports/UpstreamRegistry.js';
import { StoredUpstream } from './StoredUpstream.js';

/** Store of one report, whose calls may fail. */
class FakeReportStore extends UpstreamReportStore {
  isOut = false;
  kept: UpstreamReport | undefined;
  writes = 0;
  reads = 0;

  override async save(_: string, report: UpstreamReport): Promise<void> {
    this.writes += 1;
    if (this.isOut) throw new Error('the store answered 503');
    this.kept = report;
  }

  override async load(): Promise<UpstreamReport | undefined> {
    this.reads += 1;
    if (this.isOut) throw new Error('the store answered 503');
    return this.kept;
  }

  override stop(): void {
    this.isOut = true;
  }
}

function buildReport(cpuMilli: number, sequence = 1): UpstreamReport {
  return buildUpstreamReport({ capacity: { cpuMilli, memoryMb: 10, gpus: 0 }, sequence });
}

describe('StoredUpstream', () => {
  let clock: FakeClock;
  let store: FakeReportStore;
  let stored: StoredUpstream;
  let isOpen: boolean;
  let warnings: string[];

  beforeEach(() => {
    clock = new FakeClock();
    store = new FakeReportStore();
    isOpen = true;
    warnings = [];
    stored = new StoredUpstream(store, 'agent-1', clock, {
      isOpen: () => isOpen,
      nextRandom: () => 0.5,
      warn: (event) => void warnings.push(event),
    });
  });

  afterEach(() => stored.stop());

  // Guards against a report that is given up while the store is out, and never written when it is back.
  it('writes what is due once the store is back, however long that takes', async () => {
    store.isOut = true;
    stored.save(buildReport(1_000));
    await clock.advance(60_000);
    expect(store.kept).to.equal(undefined);
    store.isOut = false;
    await clock.advance(10_000);
    expect(store.kept?.capacity.cpuMilli).to.equal(1_000);
    const { writes } = store;
    await clock.advance(60_000);
    expect(store.writes).to.equal(writes);
  });

  it('writes a later report in place of one that is due', async () => {
    store.isOut = true;
    stored.save(buildReport(1_000));
    await clock.advance(1_000);
    stored.saveChange(buildReport(3_000, 2));
    store.isOut = false;
    await clock.advance(10_000);
    expect(store.kept?.capacity.cpuMilli).to.equal(3_000);
  });

  it('calls the store some six times a minute at most while it is out', async () => {
    store.isOut = true;
    stored.save(buildReport(1_000));
    await clock.advance(60_000);
    const { writes } = store;
    await clock.advance(60_000);
    expect(store.writes - writes).to.be.within(5, 9);
    expect(warnings.length).to.equal(store.writes);
  });

  it('gives up the report of an incarnation that is gone', async () => {
    store.isOut = true;
    stored.save(buildReport(1_000));
    await clock.advance(1_000);
    isOpen = false;
    await clock.advance(10_000);
    const { writes } = store;
    await clock.advance(60_000);
    expect(store.writes).to.equal(writes);
  });

  it('writes nothing for what is stored, nor for a draining upstream', async () => {
    store.kept = buildReport(1_000);
    await stored.load(() => true);
    stored.save(buildReport(1_000, 7));
    stored.save({ ...buildReport(2_000), isDraining: true });
    stored.saveChange({ ...buildReport(2_000), id: 'u2' });
    await clock.advance(1_000);
    expect(store.writes).to.equal(0);
  });

  it('loads the report once the store is back, as long as it is wanted', async () => {
    store.kept = buildReport(1_000);
    store.isOut = true;
    let loaded: UpstreamReport | undefined;
    void stored.load(() => true).then((report) => (loaded = report));
    await clock.advance(3_000);
    expect(loaded).to.equal(undefined);
    store.isOut = false;
    await clock.advance(5_000);
    expect(loaded?.capacity.cpuMilli).to.equal(1_000);
    store.isOut = true;
    let isWanted = true;
    void stored.load(() => isWanted);
    await clock.advance(1_000);
    isWanted = false;
    const { reads } = store;
    await clock.advance(30_000);
    expect(store.reads).to.equal(reads);
  });
});
