import { expect } from 'chai';

import { FakeTimeline } from '../../test/fakes/FakeTimeline.js';
import type { PeerChannel } from './VersionExchange.js';
import { PieceRateLimiter } from './PieceRateLimiter.js';
import { PieceSender } from './PieceSender.js';

const MESSAGE = { type: 'configuration-request' } as const;

describe('PieceSender', () => {
  for (const mbps of [2, 17.5, 1_000]) {
    it(`uses at most a fifth of a link of ${mbps} Mbit/s, in short pieces`, () => {
      const time = new FakeTimeline();
      const limiter = new PieceRateLimiter(mbps);
      const sender = new PieceSender(limiter, time);
      const bytesPerMs = (mbps * 1_000) / 8;
      expect(limiter.pieceLength / bytesPerMs).to.be.at.most(8);
      let bytes = 0;
      const served = [0, 0, 0, 0];
      served.forEach((_, at) => {
        const channel: PeerChannel = {
          send: () => {
            bytes += limiter.pieceLength;
            served[at] = (served[at] ?? 0) + 1;
            time.schedule(1, ask);
          },
        };
        const ask = (): void => {
          sender.add(channel, false, () => ({ message: MESSAGE, length: limiter.pieceLength }));
        };
        ask();
      });
      time.runUntil(4_000);
      expect(bytes / 4_000 / bytesPerMs).to.be.within(0.1, 0.2);
      expect(Math.max(...served) - Math.min(...served)).to.be.at.most(1);
    });
  }

  it('answers only the last request of a peer, and none of a closed one', () => {
    const time = new FakeTimeline();
    const sender = new PieceSender(new PieceRateLimiter(1), time);
    const sent: string[] = [];
    const listen = (name: string): PeerChannel => ({ send: () => sent.push(name) });
    const [first, asksTwice, leaves] = [listen('first'), listen('asks-twice'), listen('leaves')];
    const built: number[] = [];
    const build = (number: number) => (): { message: typeof MESSAGE; length: number } => {
      built.push(number);
      return { message: MESSAGE, length: 100 };
    };
    sender.add(first, false, build(1));
    sender.add(asksTwice, false, build(2));
    sender.add(leaves, true, build(3));
    sender.add(asksTwice, false, build(4));
    sender.drop(leaves);
    time.runUntil(1_000);
    expect([sent, built]).to.deep.equal([
      ['first', 'asks-twice'],
      [1, 4],
    ]);
  });
});
