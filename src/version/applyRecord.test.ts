import { expect } from 'chai';

import { applyRecord } from './applyRecord.js';
import { createConfigState, RESULTS_KEPT, SEAT_COUNT } from './configState.js';
import type { ConfigState, EventConfig } from './configState.js';
import { followLog } from './followLog.js';
import type { LogEntry, LogRecord } from './logRecord.js';
import { restoreState } from './restoreState.js';

const event: EventConfig = { name: 'opening', startAt: 1, endAt: 0, services: [], kinds: [], version: 0 };

function buildLog(...records: LogRecord[]): LogEntry[] {
  return records.map((record, offset) => ({ offset, at: 1_000 + offset, record }));
}

function applyAll(entries: readonly LogEntry[]): ConfigState {
  return entries.reduce(applyRecord, createConfigState());
}

const join = (peer: string, role: 'entry' | 'registrar' = 'registrar'): LogRecord => ({
  type: 'join',
  id: `join:${peer}`,
  role,
  peer,
  address: 'a:1',
});
const leave = (peer: string): LogRecord => ({ type: 'leave', id: `leave:${peer}`, peer });
const declare = (id: string): LogRecord => ({ type: 'event', id, action: 'declare', decidedOn: 0, event });
const change = (id: string, decidedOn: number, startAt: number): LogRecord => ({
  type: 'event',
  id,
  action: 'change',
  decidedOn,
  event: { ...event, startAt },
});

describe('applyRecord', () => {
  it('accepts the first of two conflicting commands and rejects the second', () => {
    const log = buildLog(declare('d'), change('x', 0, 5), change('y', 0, 9));
    const state = applyAll(log);
    expect(state.events[0]).to.include({ startAt: 5, version: 1 });
    expect(state.results.map(({ accepted }) => accepted)).to.deep.equal([true, true, false]);
    expect(state.results[2]?.reason).to.contain('version 1');
  });

  it('applies a command that was appended twice only once', () => {
    const state = applyAll(buildLog(declare('d'), change('x', 0, 5), change('x', 0, 5), change('z', 1, 7)));
    expect(state.events[0]).to.include({ startAt: 7, version: 3 });
    expect(state.results).to.have.length(3);
  });

  it('ignores a record whose offset was already applied', () => {
    const state = applyAll(buildLog(declare('d')));
    expect(applyRecord(state, { offset: 0, at: 9, record: leave('x') })).to.equal(state);
  });

  it('reassigns only the seats that a new registrar gains, with a new tenure', () => {
    const before = applyAll(buildLog(join('r1'), join('r2')));
    const after = applyRecord(before, { offset: 2, at: 9, record: join('r3') });
    for (let seat = 0; seat < SEAT_COUNT; seat += 1) {
      if (after.seats[seat]?.peer === 'r3') expect(after.seats[seat]?.sinceOffset).to.equal(2);
      else expect(after.seats[seat]).to.equal(before.seats[seat]);
    }
    expect(after.seats.filter(({ peer }) => peer === 'r3')).to.not.be.empty;
  });

  it('keeps a removed entry with the time of its removal', () => {
    const state = applyAll(buildLog(join('e1', 'entry'), leave('e1'), join('e1', 'entry')));
    expect(state.entries).to.be.empty;
    expect(state.removedEntries).to.deep.equal([{ peer: 'e1', joinedOffset: 0, at: 1_001 }]);
  });

  it('limits the number of results', () => {
    const records = Array.from({ length: RESULTS_KEPT + 5 }, (_, index) => leave(`p${index}`));
    expect(applyAll(buildLog(...records)).results).to.have.length(RESULTS_KEPT);
  });
});

describe('followLog', () => {
  const records = [declare('d'), change('x', 0, 5)];
  const prefix = applyAll(buildLog(...records));
  const snapshot: LogRecord = { type: 'snapshot', id: 's', state: prefix };
  const log = buildLog(...records, change('y', 1, 6), snapshot, change('z', 2, 8));

  it('starts from a snapshot when older records have expired, and applies all records after it', () => {
    const expired = log.slice(2);
    expect(followLog(createConfigState(), expired)).to.deep.equal(applyAll(log));
  });

  it('keeps the state when there is a gap that no snapshot covers', () => {
    const state = createConfigState();
    expect(followLog(state, log.slice(4))).to.equal(state);
  });

  it('never goes back', () => {
    const state = applyAll(log);
    expect(followLog(state, log.slice(0, 2))).to.equal(state);
  });

  it('evacuates a failure domain once, and restores it', () => {
    const change = (id: string, isEmptied: boolean): LogRecord => {
      return { type: 'domain', id, failureDomain: 'north', isEmptied };
    };
    const emptied = applyAll(buildLog(change('a', true), change('b', true)));
    expect(emptied.emptiedDomains).to.deep.equal(['north']);
    expect(emptied.results.map(({ accepted }) => accepted)).to.deep.equal([true, false]);
    const back = applyAll(buildLog(change('a', true), change('b', false)));
    expect(back.emptiedDomains).to.deep.equal([]);
  });

  it('restores a snapshot of an earlier version without emptied domains', () => {
    const state = { ...applyAll(buildLog(join('r1'))), emptiedDomains: undefined };
    const earlier = JSON.parse(JSON.stringify(state)) as ConfigState;
    const snapshot = { type: 'snapshot', id: 's', state: earlier } as const;
    const restored = restoreState([{ offset: 1, at: 1, record: snapshot }]);
    expect(restored?.emptiedDomains).to.deep.equal([]);
  });
});
