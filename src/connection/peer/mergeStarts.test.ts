import { expect } from 'chai';
import * as fc from 'fast-check';

import { listStarts, mergeStarts } from './mergeStarts.js';
import { parsePeerMessage } from './parsePeerMessage.js';
import type { PeerMessage, StartOrder, WireMessage } from './peerMessages.js';

const RESOURCES = { cpuMilli: 500, memoryMb: 10, gpus: 0 };
const DEMAND: PeerMessage = { type: 'demand' };

function buildStart(job: string, index: number, attempt: number): StartOrder {
  const name = { job, step: 0, index, attempt };
  const rest = {
    service: 's',
    spec: `text of ${job}`,
    resources: RESOURCES,
    estimateMs: 80,
    rank: 5,
    expiresAt: 9.5,
  };
  return { type: 'start', name, ...rest };
}

function split(messages: readonly WireMessage[]): PeerMessage[] {
  return messages.flatMap((message) => (message.type === 'starts' ? listStarts(message) : [message]));
}

describe('mergeStarts', () => {
  it('sends the text of a job once for all tasks of a turn', () => {
    const starts = [buildStart('a', 0, 1), buildStart('a', 1, 2), buildStart('a', 2, 3)];
    const merged = mergeStarts(starts);
    expect(merged.length).to.equal(1);
    expect(JSON.stringify(merged).split('text of a').length - 1).to.equal(1);
    expect(split(merged)).to.deep.equal(starts);
  });

  it('leaves single starts as they are and does not merge different jobs', () => {
    const starts = [buildStart('a', 0, 1), buildStart('b', 0, 2)];
    expect(mergeStarts(starts)).to.deep.equal(starts);
  });

  it('does not merge suspect tasks', () => {
    const suspect = { ...buildStart('a', 1, 2), isSuspect: true };
    const starts = [buildStart('a', 0, 1), suspect, { ...suspect, name: { ...suspect.name, index: 2 } }];
    expect(mergeStarts(starts)).to.deep.equal(starts);
    expect(parsePeerMessage(JSON.stringify(suspect)).message).to.deep.equal(suspect);
  });

  it('does not merge starts across a stop', () => {
    const stop: PeerMessage = { type: 'stop', name: { job: 'a', step: 0, index: 0, attempt: 1 } };
    const messages = [buildStart('a', 0, 1), stop, buildStart('a', 0, 2)];
    expect(mergeStarts(messages)).to.deep.equal(messages);
  });

  it('builds batches that are parsed again', () => {
    const merged = mergeStarts([buildStart('a', 0, 1), buildStart('a', 1, 2)]);
    const { message, problem } = parsePeerMessage(JSON.stringify(merged[0]));
    expect(problem).to.equal('');
    expect(message).to.deep.equal(merged[0]);
  });

  it('loses and duplicates no message and keeps the order within a job, for any messages', () => {
    const sent = fc.array(fc.record({ job: fc.constantFrom('a', 'b', 'c'), isStart: fc.boolean() }), {
      maxLength: 30,
    });
    const check = (draws: readonly { job: string; isStart: boolean }[]): void => {
      const messages = draws.map(({ job, isStart }, at) => (isStart ? buildStart(job, at, at + 1) : DEMAND));
      const received = split(mergeStarts(messages));
      const read = (job: string, list: readonly PeerMessage[]): PeerMessage[] =>
        list.filter((message) => message.type === 'start' && message.name.job === job);
      expect(received.length).to.equal(messages.length);
      for (const job of ['a', 'b', 'c']) expect(read(job, received)).to.deep.equal(read(job, messages));
    };
    fc.assert(fc.property(sent, check), { seed: 25, numRuns: 300 });
  });
});
