import { expect } from 'chai';

import { NO_EPOCH } from '../../connection/compareEpochs.js';
import type { Claim, Claimed } from '../../connection/messages.js';
import { applyRecord } from '../../version/applyRecord.js';
import { createConfigState } from '../../version/configState.js';
import type { LogRecord } from '../../version/logRecord.js';
import { applyRegistrarConfig } from './applyRegistrarConfig.js';
import { handleAgentSet, handleAnnounce, renewLease } from './handleAnnounce.js';
import { handleClaim } from './handleClaim.js';
import { createRegistrarState, DEFAULT_REGISTRAR_LIMITS } from './registrarState.js';
import type { RegistrarState } from './registrarState.js';

const NOW = 10_000_000;
const SELF = 'agent-1@a';
const FIRST = 'entry-1@a';
const SECOND = 'entry-2@b';

const join = (role: 'entry' | 'registrar', peer: string): LogRecord => ({
  type: 'join',
  id: `join:${peer}`,
  role,
  peer,
  address: 'h:1',
});

function applyRecords(state: RegistrarState, ...records: LogRecord[]): void {
  for (const record of records) {
    const offset = state.config.offset + 1;
    applyRegistrarConfig(state, applyRecord(state.config, { offset, at: NOW, record }));
  }
}

/** Creates a registrar that holds all seats, and two entries that joined after it. */
function buildRegistrar(): RegistrarState {
  const state = createRegistrarState(SELF, DEFAULT_REGISTRAR_LIMITS, createConfigState());
  applyRecords(state, join('registrar', SELF), join('entry', FIRST), join('entry', SECOND));
  renewLease(state, NOW);
  for (const peer of [FIRST, SECOND])
    handleAgentSet(state, peer, { type: 'agentSet', setId: 1, members: [`of-${peer}`] });
  return state;
}

function claim(state: RegistrarState, from: string, changes: Partial<Claim> = {}): Claimed {
  const base = {
    id: 1,
    job: 'job-1',
    createdAt: NOW,
    digest: 'd',
    setId: 1,
    mode: 'claim',
    expected: NO_EPOCH,
    offset: 0,
  };
  handleClaim(state, from, { type: 'claim', ...base, ...changes }, NOW);
  return state.outbox.pop()?.message as Claimed;
}

describe('handleClaim', () => {
  it('grants a key to the first entry and reports that owner to the second', () => {
    const state = buildRegistrar();
    const granted = claim(state, FIRST);
    expect(granted).to.include({ outcome: 'granted' });
    expect(claim(state, SECOND)).to.deep.include({ outcome: 'owned', owner: FIRST, epoch: granted.epoch });
  });

  it('grants one of two concurrent takeovers, with a higher epoch and the agents of both entries', () => {
    const state = buildRegistrar();
    const { epoch } = claim(state, FIRST);
    const won = claim(state, SECOND, { mode: 'takeover', expected: epoch });
    expect(won).to.deep.include({ outcome: 'granted', members: [`of-${FIRST}`, `of-${SECOND}`] });
    expect(won.epoch.counter).to.be.greaterThan(epoch.counter);
    expect(claim(state, FIRST, { mode: 'takeover', expected: epoch })).to.include({
      outcome: 'owned',
      owner: SECOND,
    });
  });

  it('answers a lookup of an unclaimed key with none, without claiming it', () => {
    const state = buildRegistrar();
    expect(claim(state, FIRST, { mode: 'lookup' }).outcome).to.equal('none');
    expect(claim(state, SECOND).outcome).to.equal('granted');
  });

  it('denies claims once its lease has expired', () => {
    const state = buildRegistrar();
    state.leaseRenewedAt = NOW - DEFAULT_REGISTRAR_LIMITS.leaseMs - 1;
    expect(claim(state, FIRST).outcome).to.equal('denied');
  });

  it('answers pending for a new seat until every older entry has announced its claims', () => {
    const state = createRegistrarState(SELF, DEFAULT_REGISTRAR_LIMITS, createConfigState());
    applyRecords(state, join('entry', FIRST), join('registrar', SELF), join('entry', SECOND));
    renewLease(state, NOW);
    handleAgentSet(state, SECOND, { type: 'agentSet', setId: 1, members: [] });
    expect(claim(state, SECOND).outcome).to.equal('pending');
    const owned = {
      job: 'job-1',
      createdAt: NOW,
      epoch: { version: 0, counter: 4 },
      digest: 'd',
      setId: 1,
      members: ['m'],
    };
    handleAnnounce(state, FIRST, { type: 'announce', offset: 2, claims: [owned], id: 1, part: 0, parts: 1 });
    expect(claim(state, SECOND)).to.include({ outcome: 'owned', owner: FIRST });
  });

  it('answers unknown to the owner of an announced claim that a lost entry may have taken over', () => {
    const state = createRegistrarState(SELF, DEFAULT_REGISTRAR_LIMITS, createConfigState());
    const gone: LogRecord = { type: 'leave', id: 'gone', peer: SECOND };
    applyRecords(state, join('entry', FIRST), join('entry', SECOND), join('registrar', SELF), gone);
    renewLease(state, NOW);
    handleAgentSet(state, FIRST, { type: 'agentSet', setId: 1, members: ['m'] });
    const owned = {
      job: 'job-1',
      createdAt: NOW,
      epoch: { version: 0, counter: 4 },
      digest: 'd',
      setId: 1,
      members: [],
    };
    handleAnnounce(state, FIRST, { type: 'announce', offset: 3, claims: [owned], id: 1, part: 0, parts: 1 });
    for (const mode of ['claim', 'widen', 'lookup'])
      expect(claim(state, FIRST, { mode }).outcome).to.equal('unknown');
  });

  it('accepts an announcement only after all its parts have arrived', () => {
    const state = createRegistrarState(SELF, DEFAULT_REGISTRAR_LIMITS, createConfigState());
    applyRecords(state, join('entry', FIRST), join('registrar', SELF), join('entry', SECOND));
    renewLease(state, NOW);
    handleAgentSet(state, SECOND, { type: 'agentSet', setId: 1, members: [] });
    const part = (id: number, number: number): void => {
      handleAnnounce(state, FIRST, { type: 'announce', offset: 2, claims: [], id, part: number, parts: 2 });
    };
    part(1, 1);
    part(2, 0);
    expect(claim(state, SECOND).outcome).to.equal('pending');
    part(2, 1);
    expect(claim(state, SECOND).outcome).to.equal('granted');
  });

  it('does not record claims that reference an unknown agent set', () => {
    const state = createRegistrarState(SELF, DEFAULT_REGISTRAR_LIMITS, createConfigState());
    applyRecords(state, join('entry', FIRST), join('registrar', SELF));
    const epoch = { version: 0, counter: 4 };
    const owned = { job: 'job-1', createdAt: NOW, epoch, digest: 'd', setId: 7, members: [] };
    const announce = { type: 'announce', offset: 1, claims: [owned], id: 1, part: 0, parts: 1 } as const;
    expect(handleAnnounce(state, FIRST, announce)).to.equal(false);
    handleAgentSet(state, FIRST, { type: 'agentSet', setId: 7, members: ['m'] });
    expect(handleAnnounce(state, FIRST, announce)).to.equal(true);
    expect(state.claims.get('job-1')?.members).to.deep.equal(['m']);
  });

  it('answers unknown for an old key if an entry was removed before it announced its claims', () => {
    const state = createRegistrarState(SELF, DEFAULT_REGISTRAR_LIMITS, createConfigState());
    const gone: LogRecord = { type: 'leave', id: 'gone', peer: FIRST };
    applyRecords(state, join('entry', FIRST), join('registrar', SELF), gone, join('entry', SECOND));
    renewLease(state, NOW);
    handleAgentSet(state, SECOND, { type: 'agentSet', setId: 1, members: [] });
    expect(claim(state, SECOND).outcome).to.equal('unknown');
    const later = NOW + DEFAULT_REGISTRAR_LIMITS.leaseMs + 2 * DEFAULT_REGISTRAR_LIMITS.skewMs;
    expect(claim(state, SECOND, { createdAt: later }).outcome).to.equal('granted');
  });
});
