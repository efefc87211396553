import { expect } from 'chai';

import { PongMonitor } from './PongMonitor.js';

const FIRST_MS = 200;

describe('EchoWatch', () => {
  let watch: PongMonitor;

  beforeEach(() => {
    watch = new PongMonitor(FIRST_MS);
  });

  it('awaits nothing before a ping, and nothing after its echo', () => {
    expect(watch.isOverdue(10_000)).to.equal(false);
    watch.recordPing(0);
    watch.recordPong(5);
    expect(watch.isOverdue(10_000)).to.equal(false);
  });

  it('counts from the oldest ping without an echo', () => {
    watch.recordPing(0);
    watch.recordPing(150);
    expect(watch.isOverdue(FIRST_MS)).to.equal(false);
    expect(watch.isOverdue(FIRST_MS + 1)).to.equal(true);
  });

  it('waits for as long as echoes take, and a little at least', () => {
    for (let at = 0; at < 10_000; at += 200) {
      watch.recordPing(at);
      watch.recordPong(2);
    }
    watch.recordPing(10_000);
    expect(watch.isOverdue(10_080)).to.equal(false);
    expect(watch.isOverdue(10_081)).to.equal(true);
  });

  it('waits longer for a peer whose echoes come late', () => {
    for (let at = 0; at < 10_000; at += 200) {
      watch.recordPing(at);
      watch.recordPong(at % 400 === 0 ? 10 : 170);
    }
    watch.recordPing(10_000);
    expect(watch.isOverdue(10_200)).to.equal(false);
  });

  it('gives up ever later while no echo comes on any connection, and at once again after one', () => {
    const waits: number[] = [];
    for (let round = 0; round < 5; round += 1) {
      watch.handleOpened();
      watch.recordPing(0);
      let waited = 0;
      while (!watch.isOverdue(waited)) waited += 1;
      waits.push(waited - 1);
      watch.recordTimeout();
    }
    expect(waits).to.deep.equal([200, 400, 800, 1_500, 1_500]);
    watch.recordPong(2);
    watch.recordPing(0);
    expect(watch.isOverdue(81)).to.equal(true);
  });

  it('does not give up a connection on which other bytes come, for a while', () => {
    watch.recordPing(0);
    for (let now = 0; now <= 1_500; now += 100) {
      watch.recordArrival(now);
      expect(watch.isOverdue(now + 99), `at ${now}`).to.equal(now + 99 > 1_500);
    }
  });

  it('gives up a connection on which bytes came and then nothing', () => {
    watch.recordPing(0);
    watch.recordArrival(150);
    expect(watch.isOverdue(150 + FIRST_MS)).to.equal(false);
    expect(watch.isOverdue(150 + FIRST_MS + 1)).to.equal(true);
  });

  it('counts no bytes of the connection before', () => {
    watch.recordArrival(100);
    watch.handleOpened();
    watch.recordPing(0);
    expect(watch.isOverdue(FIRST_MS + 1)).to.equal(true);
  });

  it('does not wait longer for the next echo after one that spans a standstill', () => {
    for (let at = 0; at < 20; at += 1) watch.recordPong(10);
    watch.recordPong(2_000);
    watch.recordPing(0);
    expect(watch.isOverdue(FIRST_MS)).to.equal(true);
  });

  it('counts anew after a pause of this process', () => {
    watch.recordPing(0);
    watch.handlePause(5_000);
    expect(watch.isOverdue(5_000 + FIRST_MS)).to.equal(false);
  });
});
