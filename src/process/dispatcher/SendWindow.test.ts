import { expect } from 'chai';

import { createSendWindow } from './createSendWindow.js';
import { DelayWindow, LossWindow } from './SendWindow.js';
import type { SendWindow } from './SendWindow.js';

/** Interval between reviews, and a time longer than the pause after a reduction, ms. */
const REVIEW_MS = 100;
const SETTLE_MS = 250;

/** Reviews a window, and then requests a start beyond its limit if `isFull` is set. */
function review(window: SendWindow, now: number, isFull: boolean): void {
  window.canSend(0, now);
  if (isFull) window.canSend(Infinity, now + 1);
}

describe('LossWindow', () => {
  it('is halved when starts expire, once for all starts in flight', () => {
    const window = new LossWindow();
    const first = window.bytes;
    window.recordExpired(0);
    window.recordExpired(50);
    expect(window.bytes).to.equal(first / 2);
    window.recordExpired(SETTLE_MS);
    expect(window.bytes).to.equal(first / 4);
  });

  it('grows only while it limits', () => {
    const window = new LossWindow();
    const first = window.bytes;
    for (let now = 0; now < 10 * REVIEW_MS; now += REVIEW_MS) review(window, now, false);
    expect(window.bytes).to.equal(first);
    review(window, 10 * REVIEW_MS, true);
    review(window, 11 * REVIEW_MS, true);
    expect(window.bytes).to.be.greaterThan(first);
  });

  it('always allows some starts', () => {
    const window = new LossWindow();
    for (let now = 0; now < 100 * SETTLE_MS; now += SETTLE_MS) window.recordExpired(now);
    expect(window.canSend(4_000, 0)).to.equal(true);
  });
});

describe('DelayWindow', () => {
  it('shrinks when most pongs are delayed, before starts expire', () => {
    const window = new DelayWindow();
    const first = window.bytes;
    for (const delayMs of [100, 90, 5]) window.recordDelay(delayMs);
    review(window, REVIEW_MS, true);
    expect(window.bytes).to.be.lessThan(first);
  });

  it('stays the same while pongs are slightly delayed, or there are none', () => {
    const window = new DelayWindow();
    const first = window.bytes;
    review(window, REVIEW_MS, true);
    review(window, 2 * REVIEW_MS, true);
    window.recordDelay(45);
    review(window, 3 * REVIEW_MS, true);
    expect(window.bytes).to.equal(first);
  });

  it('uses the latest pongs, however many arrived while nothing was sent', () => {
    const window = new DelayWindow();
    const first = window.bytes;
    for (let count = 0; count < 10_000; count += 1) window.recordDelay(100);
    for (let count = 0; count < 300; count += 1) window.recordDelay(45);
    review(window, REVIEW_MS, true);
    expect(window.bytes).to.equal(first);
  });

  it('grows while it limits and pongs are fast', () => {
    const window = new DelayWindow();
    const first = window.bytes;
    review(window, 0, true);
    window.recordDelay(2);
    review(window, REVIEW_MS, true);
    expect(window.bytes).to.be.greaterThan(first);
  });
});

describe('createSendWindow', () => {
  it('creates the configured window', () => {
    expect(createSendWindow({ sendWindow: 'open' }).canSend(Infinity, 0)).to.equal(true);
    expect(createSendWindow({ sendWindow: 'loss' })).to.be.instanceOf(LossWindow);
    expect(createSendWindow({ sendWindow: 'delay' })).to.be.instanceOf(DelayWindow);
  });
});
