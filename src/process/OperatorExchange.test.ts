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

  it('has no configuration in force until it is known which domains are emptied', () => {
    exchange.adoptConfiguration(CONFIGURATION, 'store');
    expect(exchange.configuration).to.equal(undefined);
    exchange.adoptEmptied({ revision: 3, domains: [] }, 'peer');
    expect(exchange.configuration).to.equal(CONFIGURATION);
  });

  it('takes records one after another, two changes of one domain among them', () => {
    exchange.adoptEmptied({ revision: 3, domains: [] }, 'store');
    exchange.changeDomain({ revision: 5, domain: 'north', isEmptied: true }, 'store');
    exchange.changeDomain({ revision: 6, domain: 'north', isEmptied: false }, 'store');
    exchange.changeDomain({ revision: 7, domain: 'north', isEmptied: true }, 'store');
    expect(lists).to.deep.equal([[], ['north'], [], ['north']]);
  });

  it('never goes back, whether by a list that is behind or by a record that comes late', () => {
    exchange.adoptEmptied({ revision: 7, domains: ['north'] }, 'peer');
    exchange.adoptEmptied({ revision: 5, domains: [] }, 'store');
    exchange.changeDomain({ revision: 6, domain: 'north', isEmptied: false }, 'store');
    expect(exchange.emptied).to.deep.equal({ revision: 7, domains: ['north'] });
    exchange.changeDomain({ revision: 8, domain: 'north', isEmptied: false }, 'store');
    expect(exchange.emptied?.domains).to.deep.equal([]);
  });

  it('takes no record before the first list, which tells more', () => {
    exchange.changeDomain({ revision: 8, domain: 'north', isEmptied: true }, 'store');
    expect(exchange.emptied).to.equal(undefined);
  });

  it('asks a peer for what is newer there, and tells a peer what it asks for', () => {
    exchange.compareVersions({ version: -1, emptiedRevision: 7 }, channel, 0);
    expect(sent).to.deep.equal([{ type: 'emptied-request' }]);
    const emptied = { revision: 7, domains: ['north'] };
    expect(exchange.receive({ type: 'emptied', emptied }, channel)).to.equal(true);
    exchange.receive({ type: 'emptied-request' }, channel);
    expect(sent.at(-1)).to.deep.equal({ type: 'emptied', emptied });
  });

  it('asks nothing of peers of earlier versions, which tell no list', () => {
    exchange.compareVersions({ version: -1 }, channel, 0);
    expect(sent).to.deep.equal([]);
  });
});
