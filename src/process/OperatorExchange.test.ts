import { expect } from 'chai';

import type { PeerMessage } from '../connection/peer/peerMessages.js';
import type { Configuration } from '../version/configuration.js';
import { OperatorExchange } from './OperatorExchange.js';

const LIMITS = { maxBodyBytes: 1_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 };
const CONFIGURATION: Configuration = { version: 4, routes: [], limits: LIMITS };

describe('OperatorExchange', () => {
  let sent: PeerMessage[];
  let lists: (readonly string[])[];
  let exchange: OperatorExchange;
  const channel = { send: (message: PeerMessage): unknown => sent.push(message) };

  beforeEach(() => {
    sent = [];
    lists = [];
    exchange = new OperatorExchange({
      changeConfiguration: () => undefined,
      changeEmptied: ({ domains }) => lists.push(domains),
    });
  });

  it('has no configuration in force until the emptied domains are known', () => {
    exchange.adoptConfiguration(CONFIGURATION, 'store');
    expect(exchange.configuration).to.equal(undefined);
    exchange.adoptEmptied({ revision: 3, domains: [] }, 'peer');
    expect(exchange.configuration).to.equal(CONFIGURATION);
  });

  it('applies successive changes, including several of one domain', () => {
    exchange.adoptEmptied({ revision: 3, domains: [] }, 'store');
    exchange.changeDomain({ revision: 5, domain: 'north', isEmptied: true }, 'store');
    exchange.changeDomain({ revision: 6, domain: 'north', isEmptied: false }, 'store');
    exchange.changeDomain({ revision: 7, domain: 'north', isEmptied: true }, 'store');
    expect(lists).to.deep.equal([[], ['north'], [], ['north']]);
  });

  it('ignores an older list and a late change', () => {
    exchange.adoptEmptied({ revision: 7, domains: ['north'] }, 'peer');
    exchange.adoptEmptied({ revision: 5, domains: [] }, 'store');
    exchange.changeDomain({ revision: 6, domain: 'north', isEmptied: false }, 'store');
    expect(exchange.emptied).to.deep.equal({ revision: 7, domains: ['north'] });
    exchange.changeDomain({ revision: 8, domain: 'north', isEmptied: false }, 'store');
    expect(exchange.emptied?.domains).to.deep.equal([]);
  });

  it('ignores changes before the first list', () => {
    exchange.changeDomain({ revision: 8, domain: 'north', isEmptied: true }, 'store');
    expect(exchange.emptied).to.equal(undefined);
  });

  it('requests a newer list from a peer, and sends its own on request', () => {
    exchange.compareVersions({ version: -1, emptiedRevision: 7 }, channel, 0);
    expect(sent).to.deep.equal([{ type: 'emptied-request' }]);
    const emptied = { revision: 7, domains: ['north'] };
    expect(exchange.receive({ type: 'emptied', emptied }, channel)).to.equal(true);
    exchange.receive({ type: 'emptied-request' }, channel);
    expect(sent.at(-1)).to.deep.equal({ type: 'emptied', emptied });
  });

  it('sends no request to peers of earlier versions, which report no revision', () => {
    exchange.compareVersions({ version: -1 }, channel, 0);
    expect(sent).to.deep.equal([]);
  });
});
