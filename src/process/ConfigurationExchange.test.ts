import { expect } from 'chai';

import { buildRoutes } from '../../test/fakes/buildRoutes.js';
import { FakeTimeline } from '../../test/fakes/FakeTimeline.js';
import type { PeerMessage } from '../connection/peer/peerMessages.js';
import { encodeConfiguration } from '../connection/peer/encodedConfiguration.js';
import type { Configuration } from '../version/configuration.js';
import { ConfigurationExchange } from './ConfigurationExchange.js';
import type { PeerChannel } from './VersionExchange.js';

const LIMITS = { maxBodyBytes: 1_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 };
/** Longer than the delay after which an executor fetches a text. */
const DELAYED_FETCH_MS = 2_500;
const SUMMARY_REQUEST = { type: 'configuration-request', position: 0, isUrgent: true };

function createConfiguration(version: number, routes = 0): Configuration {
  return { version, routes: routes === 0 ? [] : buildRoutes(routes, version), limits: LIMITS };
}

describe('ConfigurationExchange', () => {
  let sent: PeerMessage[];
  let time: FakeTimeline;
  let faults: string[];
  let adopted: number[];
  const channel = { send: (message: PeerMessage): unknown => sent.push(message) };

  beforeEach(() => {
    sent = [];
    faults = [];
    adopted = [];
    time = new FakeTimeline();
  });

  function createExchange(usesRoutes = true): ConfigurationExchange {
    return new ConfigurationExchange(
      { usesRoutes, linkMbps: 100, timeline: time, nextRandom: () => 0.5 },
      {
        handleAdopted: (version) => adopted.push(version),
        recordServices: () => undefined,
        recordFault: (_, problem) => faults.push(problem),
      },
    );
  }

  it('adopts only newer versions', () => {
    const exchange = createExchange();
    expect(exchange.adopt(createConfiguration(4))).to.equal(true);
    expect(exchange.adopt(createConfiguration(3))).to.equal(false);
    expect(exchange.adopt(createConfiguration(4))).to.equal(false);
    expect(exchange.version).to.equal(4);
  });

  it('sends a request to a peer that is ahead, and no second one at once', () => {
    const exchange = createExchange();
    exchange.adopt(createConfiguration(4));
    exchange.compareVersion(4, channel, 0);
    expect(sent).to.deep.equal([]);
    exchange.compareVersion(7, channel, 10);
    exchange.compareVersion(7, channel, 20);
    expect(sent).to.deep.equal([SUMMARY_REQUEST]);
    exchange.compareVersion(7, channel, 200);
    expect(sent).to.have.length(2);
  });

  it('backs off while no peer delivers a reported version', () => {
    const exchange = createExchange();
    for (let now = 0; now < 60_000; now += 50) {
      exchange.compareVersion(7, channel, now);
      exchange.handleSummary({ type: 'configuration-summary', version: -1 }, channel);
    }
    expect(sent.length).to.be.within(12, 20);
  });

  it('requests a newer version immediately after an answer', () => {
    const exchange = createExchange();
    exchange.compareVersion(7, channel, 10);
    exchange.adopt(createConfiguration(7));
    exchange.compareVersion(9, channel, 20);
    expect(sent).to.have.length(2);
  });

  it('sends a summary of the held version, if any, without the routes', () => {
    const exchange = createExchange();
    exchange.sendVersion(channel);
    expect(sent).to.deep.equal([]);
    exchange.adopt(createConfiguration(4, 2));
    exchange.sendVersion(channel);
    const services = ['service-of-4', 'service-1'];
    const { length } = encodeConfiguration(createConfiguration(4, 2));
    expect(sent).to.deep.equal([{ type: 'configuration-summary', version: 4, services, length }]);
  });

  it('sends the whole configuration to a peer of an earlier version', () => {
    for (const usesRoutes of [true, false]) {
      sent = [];
      const exchange = createExchange(usesRoutes);
      exchange.adopt(createConfiguration(4, 3));
      exchange.handleRequest({ type: 'configuration-request' }, channel);
      expect(sent).to.deep.equal([{ type: 'configuration', configuration: createConfiguration(4, 3) }]);
    }
  });

  describe('between processes', () => {
    /** Changes a message in transit, or drops it; each message takes 1 ms. */
    let change: (message: PeerMessage) => PeerMessage | undefined;
    let pieces: number;

    beforeEach(() => {
      change = (message) => message;
      pieces = 0;
    });

    /** Links two exchanges; returns the channels to the second and to the first. */
    function link(a: ConfigurationExchange, b: ConfigurationExchange): [PeerChannel, PeerChannel] {
      const toB: PeerChannel = { send: (message) => pass(message, b, () => toA) };
      const toA: PeerChannel = { send: (message) => pass(message, a, () => toB) };
      return [toB, toA];
    }

    function pass(message: PeerMessage, to: ConfigurationExchange, back: () => PeerChannel): void {
      if (message.type === 'configuration-piece') pieces += 1;
      const changed = change(message);
      if (!changed) return;
      time.schedule(1, () => {
        if (changed.type === 'configuration-request') to.handleRequest(changed, back());
        if (changed.type === 'configuration-summary') to.handleSummary(changed, back());
        if (changed.type === 'configuration-piece') to.handlePiece(changed, back());
        if (changed.type === 'configuration') to.adopt(changed.configuration);
      });
    }

    /** Reports the versions of the peers to an exchange repeatedly, as pongs do, for some ms. */
    function reportVersions(
      to: ConfigurationExchange,
      from: readonly (readonly [ConfigurationExchange, PeerChannel])[],
      ms: number,
    ): void {
      const until = time.now() + ms;
      while (time.now() < until) {
        for (const [peer, channel] of from) to.compareVersion(peer.version, channel, time.now());
        time.runUntil(Math.min(until, time.now() + 100));
      }
    }

    function create(version: number, routes = 1_500, usesRoutes = true): ConfigurationExchange {
      const exchange = createExchange(usesRoutes);
      if (version > 0) exchange.adopt(createConfiguration(version, routes));
      return exchange;
    }

    it('fetches a version in pieces, also from a process that stores only the text', () => {
      const [source, relay, last] = [create(3), create(1, 10, false), create(0)];
      const [, toSource] = link(source, relay);
      reportVersions(relay, [[source, toSource]], 300);
      expect([relay.version, relay.services?.has('service-of-3')]).to.deep.equal([1, true]);
      reportVersions(relay, [[source, toSource]], DELAYED_FETCH_MS);
      expect([relay.version, relay.newest]).to.deep.equal([3, undefined]);
      const [, toRelay] = link(relay, last);
      reportVersions(last, [[relay, toRelay]], 1_000);
      expect(last.newest).to.deep.equal(createConfiguration(3, 1_500));
      expect(adopted).to.deep.equal([3, 3]);
    });

    it('does not delay the fetch of a short text', () => {
      const [source, relay] = [create(3, 10), create(1, 10, false)];
      const [, toSource] = link(source, relay);
      reportVersions(relay, [[source, toSource]], 300);
      expect(relay.version).to.equal(3);
    });

    it('does not delay the fetch while it holds no version', () => {
      const [source, relay] = [create(3), create(0, 0, false)];
      const [, toSource] = link(source, relay);
      reportVersions(relay, [[source, toSource]], 500);
      expect(relay.version).to.equal(3);
    });

    it('continues with another peer after a lost link, without fetching received pieces again', () => {
      const [first, second, reader] = [create(3), create(3), create(0)];
      const [, toFirst] = link(first, reader);
      const [, toSecond] = link(second, reader);
      change = (message) => (message.type === 'configuration-piece' && pieces > 2 ? undefined : message);
      reportVersions(reader, [[first, toFirst]], 200);
      expect(reader.version).to.equal(-1);
      const whole = Math.ceil(encodeConfiguration(createConfiguration(3, 1_500)).length / 8_192);
      change = (message) => message;
      reader.handleClosed(toFirst);
      reportVersions(reader, [[second, toSecond]], 1_000);
      expect(reader.version).to.equal(3);
      // One piece was lost with the link.
      expect(pieces).to.equal(whole + 1);
    });

    it('switches to another peer when a connected one sends no piece', () => {
      const [first, second, reader] = [create(3), create(3), create(0)];
      const [, toFirst] = link(first, reader);
      const [, toSecond] = link(second, reader);
      change = (message) => (message.type === 'configuration-piece' && pieces === 1 ? undefined : message);
      reportVersions(
        reader,
        [
          [first, toFirst],
          [second, toSecond],
        ],
        3_000,
      );
      expect([reader.version, faults]).to.deep.equal([3, ['sends nothing']]);
    });

    it('abandons a transfer when a newer version appears', () => {
      const [source, reader] = [create(3), create(0)];
      const [, toSource] = link(source, reader);
      change = (message) => {
        if (pieces === 2) source.adopt(createConfiguration(9, 1_500));
        return message;
      };
      reportVersions(reader, [[source, toSource]], 2_000);
      expect([reader.version, adopted, faults]).to.deep.equal([9, [9], []]);
    });

    it('keeps the held version when a text is invalid, and fetches from another peer', () => {
      for (const usesRoutes of [true, false]) {
        faults = [];
        const [wrong, right] = [create(7), create(7)];
        const reader = create(3, 10, usesRoutes);
        const [, toWrong] = link(wrong, reader);
        const [, toRight] = link(right, reader);
        change = (message) =>
          message.type === 'configuration-piece'
            ? { ...message, text: 'A'.repeat(message.text.length) }
            : message;
        reportVersions(reader, [[wrong, toWrong]], DELAYED_FETCH_MS + 1_000);
        expect([reader.version, faults.length]).to.deep.equal([3, 1]);
        change = (message) => message;
        reportVersions(reader, [[wrong, toWrong]], 1_000);
        expect(reader.version, 'asked again at once').to.equal(3);
        reportVersions(reader, [[right, toRight]], DELAYED_FETCH_MS);
        expect(reader.version).to.equal(7);
      }
    });

    it('fetches an earlier version when no peer has the newest any more', () => {
      const [newest, other, reader] = [create(9), create(7), create(3)];
      const [, toNewest] = link(newest, reader);
      const [, toOther] = link(other, reader);
      change = (message) => (message.type === 'configuration-piece' ? undefined : message);
      reportVersions(reader, [[newest, toNewest]], 300);
      reader.handleClosed(toNewest);
      change = (message) => message;
      reportVersions(reader, [[other, toOther]], 7_000);
      expect(reader.version).to.equal(7);
    });

    it('adopts a whole configuration from a peer of an earlier version', () => {
      const [source, reader] = [create(7), create(3, 10, false)];
      const [, toSource] = link(source, reader);
      // Processes of earlier versions ignore the fields of a request.
      change = (message) => (message.type === 'configuration-request' ? { type: message.type } : message);
      reportVersions(reader, [[source, toSource]], 2_000);
      expect([reader.version, reader.services?.has('service-of-7')]).to.deep.equal([7, true]);
    });

    it('reads long lists of services from the text', () => {
      const routes = buildRoutes(200, 7).map((route, at) => ({ ...route, service: `one-of-many-${at}` }));
      const source = createExchange();
      source.adopt({ version: 7, routes, limits: LIMITS });
      const reader = create(3, 10, false);
      const [, toSource] = link(source, reader);
      reportVersions(reader, [[source, toSource]], DELAYED_FETCH_MS + 500);
      expect([reader.version, reader.services?.size]).to.deep.equal([7, 200]);
    });

    it('handles urgent requests first', () => {
      const source = create(3);
      const order: string[] = [];
      const listen = (name: string): PeerChannel => ({
        send: ({ type }) => type === 'configuration-piece' && order.push(name),
      });
      const request = { type: 'configuration-request', version: 3, position: 0 } as const;
      for (const name of ['a', 'b']) source.handleRequest(request, listen(name));
      source.handleRequest({ ...request, isUrgent: true }, listen('urgent'));
      time.runUntil(1_000);
      expect(order).to.deep.equal(['a', 'urgent', 'b']);
    });
  });
});
