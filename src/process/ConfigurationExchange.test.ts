import { expect } from 'chai';

import type { PeerMessage } from '../connection/peer/peerMessages.js';
import type { Configuration } from '../version/configuration.js';
import { ConfigurationExchange } from './ConfigurationExchange.js';

const LIMITS = { maxBodyBytes: 1_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 };

function createConfiguration(version: number): Configuration {
  return { version, routes: [], limits: LIMITS };
}

describe('ConfigurationExchange', () => {
  let sent: PeerMessage[];
  const channel = { send: (message: PeerMessage): unknown => sent.push(message) };

  beforeEach(() => {
    sent = [];
  });

  it('never goes back', () => {
    const exchange = new ConfigurationExchange();
    expect(exchange.adopt(createConfiguration(4))).to.equal(true);
    expect(exchange.adopt(createConfiguration(3))).to.equal(false);
    expect(exchange.adopt(createConfiguration(4))).to.equal(false);
    expect(exchange.version).to.equal(4);
  });

  it('asks a peer that is ahead, and one peer at a time', () => {
    const exchange = new ConfigurationExchange();
    exchange.adopt(createConfiguration(4));
    exchange.compareVersion(4, channel, 0);
    expect(sent).to.deep.equal([]);
    exchange.compareVersion(7, channel, 10);
    exchange.compareVersion(7, channel, 20);
    expect(sent).to.deep.equal([{ type: 'configuration-request' }]);
    exchange.compareVersion(7, channel, 200);
    expect(sent).to.have.length(2);
  });

  it('asks again at once for what is newer than an answer', () => {
    const exchange = new ConfigurationExchange();
    exchange.compareVersion(7, channel, 10);
    exchange.adopt(createConfiguration(7));
    exchange.compareVersion(9, channel, 20);
    expect(sent).to.have.length(2);
  });

  it('tells what it has, if anything', () => {
    const exchange = new ConfigurationExchange();
    exchange.tell(channel);
    expect(sent).to.deep.equal([]);
    exchange.adopt(createConfiguration(4));
    exchange.tell(channel);
    expect(sent).to.deep.equal([{ type: 'configuration', configuration: createConfiguration(4) }]);
  });
});
