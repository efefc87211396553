import { expect } from 'chai';

import { createSendWindow } from './createSendWindow.js';
import { DelayWindow, LossWindow } from './SendWindow.js';
import type { SendWindow } from './SendWindow.js';

/** Between two reviews, and longer than a window stays after it was made smaller, ms. */
const REVIEW_MS = 100;
const SETTLE_MS = 250;

/** Has a window be reviewed, with as much on the way as it allows, or nothing. */
function review(window: SendWindow, now: number, isFull: boolean): void {
  window.hasRoom(0, now);
  if (isFull) window.hasRoom(Infinity, now + 1);
}

describe('LossWindow', () => {
  it('is halved when starts expire, once for all that were on the way then', () => {
    const window = new LossWindow();
    const first = window.bytes;
    window.noteExpired(0);
    window.noteExpired(50);
    expect(window.bytes).to.equal(first / 2);
    window.noteExpired(SETTLE_MS);
    expect(window.bytes).to.equal(first / 4);
  });

  it('grows while it binds, and only then', () => {
    const window = new LossWindow();
    const first = window.bytes;
    for (let now = 0; now < 10 * REVIEW_MS; now += REVIEW_MS) review(window, now, false);
    expect(window.bytes).to.equal(first);
    review(window, 10 * REVIEW_MS, true);
    review(window, 11 * REVIEW_MS, true);
    expect(window.bytes).to.be.greaterThan(first);
  });

  it('always lets some starts go', () => {
    const window = new LossWindow();
    for (let now = 0; now < 100 * SETTLE_MS; now += SETTLE_MS) window.noteExpired(now);
    expect(window.hasRoom(4_000, 0)).to.equal(true);
  });
});

describe('DelayWindow', () => {
  it('becomes smaller when most echoes wait, before anything expires', () => {
    const window = new DelayWindow();
    const first = window.bytes;
    for (const delayMs of [100, 90, 5]) window.noteDelay(delayMs);
    review(window, REVIEW_MS, true);
    expect(window.bytes).to.be.lessThan(first);
  });

  it('stays as it is while echoes wait a little, or none came', () => {
    const window = new DelayWindow();
    const first = window.bytes;
    review(window, REVIEW_MS, true);
    review(window, 2 * REVIEW_MS, true);
    window.noteDelay(45);
    review(window, 3 * REVIEW_MS, true);
    expect(window.bytes).to.equal(first);
  });

  it('judges by the newest echoes, however many came while nothing was to be sent', () => {
    const window = new DelayWindow();
    const first = window.bytes;
    for (let count = 0; count < 10_000; count += 1) window.noteDelay(100);
    for (let count = 0; count < 300; count += 1) window.noteDelay(45);
    review(window, REVIEW_MS, true);
    expect(window.bytes).to.equal(first);
  });

  it('grows while it binds and echoes are fast', () => {
    const window = new DelayWindow();
    const first = window.bytes;
    review(window, 0, true);
    window.noteDelay(2);
    review(window, REVIEW_MS, true);
    expect(window.bytes).to.be.greaterThan(first);
  });
});

describe('createSendWindow', () => {
  it('creates the window that is named', () => {
    expect(createSendWindow({ sendWindow: 'open' }).hasRoom(Infinity, 0)).to.equal(true);
    expect(createSendWindow({ sendWindow: 'loss' })).to.be.instanceOf(LossWindow);
    expect(createSendWindow({ sendWindow: 'delay' })).to.be.instanceOf(DelayWindow);
  });
});
