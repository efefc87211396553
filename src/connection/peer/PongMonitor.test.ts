import { expect } from 'chai';

import { PongMonitor } from './PongMonitor.js';

const FIRST_MS = 200;

describe('PongMonitor', () => {
  let monitor: PongMonitor;

  beforeEach(() => {
    monitor = new PongMonitor(FIRST_MS);
  });

  it('expects no pong before a ping, nor after its pong', () => {
    expect(monitor.isOverdue(10_000)).to.equal(false);
    monitor.recordPing(0);
    monitor.recordPong(5);
    expect(monitor.isOverdue(10_000)).to.equal(false);
  });

  it('counts from the oldest ping without a pong', () => {
    monitor.recordPing(0);
    monitor.recordPing(150);
    expect(monitor.isOverdue(FIRST_MS)).to.equal(false);
    expect(monitor.isOverdue(FIRST_MS + 1)).to.equal(true);
  });

  it('waits no longer than the minimum when pongs arrive at once', () => {
    for (let at = 0; at < 10_000; at += 200) {
      monitor.recordPing(at);
      monitor.recordPong(2);
    }
    monitor.recordPing(10_000);
    expect(monitor.isOverdue(10_080)).to.equal(false);
    expect(monitor.isOverdue(10_081)).to.equal(true);
  });

  it('waits longer for a peer whose pongs arrive late', () => {
    for (let at = 0; at < 10_000; at += 200) {
      monitor.recordPing(at);
      monitor.recordPong(at % 400 === 0 ? 10 : 170);
    }
    monitor.recordPing(10_000);
    expect(monitor.isOverdue(10_200)).to.equal(false);
  });

  it('doubles the timeout with each connection without a pong, and resets it after a pong', () => {
    const waits: number[] = [];
    for (let round = 0; round < 5; round += 1) {
      monitor.handleOpened();
      monitor.recordPing(0);
      let waited = 0;
      while (!monitor.isOverdue(waited)) waited += 1;
      waits.push(waited - 1);
      monitor.recordTimeout();
    }
    expect(waits).to.deep.equal([200, 400, 800, 1_500, 1_500]);
    monitor.recordPong(2);
    monitor.recordPing(0);
    expect(monitor.isOverdue(81)).to.equal(true);
  });

  it('extends the wait while other data arrives, up to a limit', () => {
    monitor.recordPing(0);
    for (let now = 0; now <= 1_500; now += 100) {
      monitor.recordArrival(now);
      expect(monitor.isOverdue(now + 99), `at ${now}`).to.equal(now + 99 > 1_500);
    }
  });

  it('reports a connection overdue on which data stops arriving', () => {
    monitor.recordPing(0);
    monitor.recordArrival(150);
    expect(monitor.isOverdue(150 + FIRST_MS)).to.equal(false);
    expect(monitor.isOverdue(150 + FIRST_MS + 1)).to.equal(true);
  });

  it('ignores data of the previous connection', () => {
    monitor.recordArrival(100);
    monitor.handleOpened();
    monitor.recordPing(0);
    expect(monitor.isOverdue(FIRST_MS + 1)).to.equal(true);
  });

  it('does not increase the timeout after a pong that was delayed by a pause', () => {
    for (let at = 0; at < 20; at += 1) monitor.recordPong(10);
    monitor.recordPong(2_000);
    monitor.recordPing(0);
    expect(monitor.isOverdue(FIRST_MS)).to.equal(true);
  });

  it('restarts the wait after a pause of this process', () => {
    monitor.recordPing(0);
    monitor.handlePause(5_000);
    expect(monitor.isOverdue(5_000 + FIRST_MS)).to.equal(false);
  });
});
