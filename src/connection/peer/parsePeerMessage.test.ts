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
    const { problem } = parsePeerMessage(
      `{"type":"emptied","emptied":{"revision":1,"domains":[${'1,'.repeat(500_000)}1]}}`,
    );
    expect(problem).to.match(/^invalid emptied message: \/emptied\/domains\/0: must be string$/);
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
