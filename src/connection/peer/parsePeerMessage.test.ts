import { expect } from 'chai';

import { parsePeerMessage } from './parsePeerMessage.js';

const PLACE = { address: '10.1.0.13:7420', failureDomain: 'x' };
/** Depth at which `JSON.stringify` fails. */
const DEPTH = 100_000;
const NESTED = '['.repeat(DEPTH) + ']'.repeat(DEPTH);

describe('parsePeerMessage', () => {
  it('leaves out members that cannot be dialed, and keeps the others', () => {
    const odd = ['10.1.0.13:0', '10.1.0.13:99999', 'host', ''].map((address) => ({ ...PLACE, address }));
    const line = JSON.stringify({ type: 'members', entries: [...odd, PLACE] });
    expect(parsePeerMessage(line).message).to.deep.equal({ type: 'members', entries: [PLACE] });
  });

  it('rejects a dispatcher at an address that cannot be dialed', () => {
    const place = { ...PLACE, address: '10.1.0.13:99999' };
    expect(parsePeerMessage(JSON.stringify({ type: 'entry-hello', entry: 'e', place })).problem).to.include(
      'place',
    );
  });

  // Guards against values of unknown form that are kept and passed on, until a process fails to write them.
  it('removes fields that are not listed, however deeply nested', () => {
    const line = `{"type":"members","x":${NESTED},"entries":[{"address":"10.1.0.13:7420","failureDomain":"x","y":${NESTED}}]}`;
    const { message } = parsePeerMessage(line);
    expect(JSON.stringify(message)).to.equal(JSON.stringify({ type: 'members', entries: [PLACE] }));
  });

  it('reports one of many errors', () => {
    const { message, faults, problem } = parsePeerMessage(
      `{"type":"emptied","emptied":{"revision":1,"domains":[${'1,'.repeat(500_000)}1]}}`,
    );
    expect([message, problem]).to.deep.equal([undefined, '']);
    expect(faults).to.deep.equal([
      { type: 'emptied', field: '', count: 1, problem: '/emptied/domains/0: must be string' },
    ]);
  });

  // One amount of a pong that the schema did not allow closed each link, and all that it carried was lost.
  it('leaves out a field that stands alone and cannot be read', () => {
    const pong = { type: 'pong', at: 1, version: 2, typicalSpeed: 1, isWaiting: true };
    for (const waitingCpuMilli of [1e12, -1, 0.5, null, 'many', {}]) {
      const { message, faults, problem } = parsePeerMessage(JSON.stringify({ ...pong, waitingCpuMilli }));
      expect([message, problem]).to.deep.equal([pong, '']);
      expect(faults.map(({ type, field, count }) => [type, field, count])).to.deep.equal([
        ['pong', 'waitingCpuMilli', 1],
      ]);
    }
  });

  it('replaces a field of a pong that cannot be read, so that the pong still counts', () => {
    const line = JSON.stringify({ type: 'pong', at: 1, version: 'x', typicalSpeed: Infinity });
    const { message, faults } = parsePeerMessage(line);
    expect(message).to.deep.equal({ type: 'pong', at: 1, version: -1, typicalSpeed: 1, isWaiting: false });
    expect(faults.map(({ field }) => field)).to.deep.equal(['version', 'typicalSpeed', 'isWaiting']);
  });

  it('takes an attempt for over whose result is of an unknown kind', () => {
    const name = { job: 'j', step: 0, index: 1, attempt: 2 };
    const line = JSON.stringify({ type: 'result', name, end: 'later', reason: 7 });
    expect(parsePeerMessage(line).message).to.deep.equal({
      type: 'result',
      name,
      end: 'lost',
      reason: 'unreadable',
    });
  });

  it('leaves out single rows of a list, and names starts among them that can be named', () => {
    const resources = { cpuMilli: 1, memoryMb: 1, gpus: 0 };
    const task = { step: 0, index: 0, attempt: 1, resources, estimateMs: 5 };
    const tasks = [null, task, { ...task, index: 1, estimateMs: -1 }, { ...task, index: -1 }];
    const starts = { type: 'starts', job: 'j', service: 's', spec: '', rank: 0, expiresAt: 1, tasks };
    const { message, faults } = parsePeerMessage(JSON.stringify(starts));
    expect(message).to.deep.equal({ ...starts, tasks: [task] });
    expect(faults.map(({ field, count, starts: named }) => ({ field, count, named }))).to.deep.equal([
      { field: 'tasks', count: 3, named: [{ job: 'j', step: 0, index: 1, attempt: 1 }] },
    ]);
    const whole = parsePeerMessage(JSON.stringify({ ...starts, rank: null })).faults;
    expect(whole.map(({ field, count }) => [field, count])).to.deep.equal([
      ['tasks', 3],
      ['', 1],
    ]);
    expect(whole.flatMap(({ starts: named = [] }) => named.map(({ index }) => index))).to.deep.equal([1, 0]);
  });

  // Guards against a line of a foreign peer that keeps the process busy with each of its rows.
  it('rejects a message with very many rows that cannot be read', () => {
    for (const type of ['members', 'starts', 'agent-hello']) {
      const line = `{"type":"${type}","tasks":[${'1,'.repeat(500_000)}1],"entries":[${'1,'.repeat(500_000)}1],"holding":[${'1,'.repeat(500_000)}1]}`;
      expect(parsePeerMessage(line)).to.deep.equal({
        message: undefined,
        faults: [],
        problem: 'too many rows that cannot be read',
      });
    }
  });

  it('leaves out a message without what it needs, but rejects the first one of a link', () => {
    expect(parsePeerMessage('{"type":"stop","name":{}}')).to.deep.include({
      message: undefined,
      problem: '',
    });
    for (const type of ['agent-hello', 'entry-welcome', 'entry-hello'])
      expect(parsePeerMessage(JSON.stringify({ type })).problem).to.include(type);
    for (const line of ['', '[', 'null', '7', '{}', '{"type":1}'])
      expect(parsePeerMessage(line).problem).to.not.equal('');
  });

  // Guards against a version after which no later one can be adopted.
  it('rejects versions that leave no room for later ones', () => {
    for (const version of [Number.MAX_SAFE_INTEGER, 1e300]) {
      const configuration = {
        version,
        routes: [],
        limits: { maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
      };
      expect(parsePeerMessage(JSON.stringify({ type: 'configuration', configuration })).message).to.equal(
        undefined,
      );
      const emptied = { revision: version, domains: [] };
      expect(parsePeerMessage(JSON.stringify({ type: 'emptied', emptied })).message).to.equal(undefined);
    }
  });
});
