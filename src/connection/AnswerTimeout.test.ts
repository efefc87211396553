import { expect } from 'chai';

import { AnswerTimeout } from './AnswerTimeout.js';

const BOUNDS = { minMs: 30, maxMs: 120, firstMs: 120 };

describe('AnswerTimeout', () => {
  it('returns the first timeout before the first answer', () => {
    expect(new AnswerTimeout(BOUNDS).compute()).to.equal(120);
  });

  it('returns the minimum when answers arrive at once', () => {
    const timeout = new AnswerTimeout(BOUNDS);
    for (let at = 0; at < 20; at += 1) timeout.recordAnswer(2);
    expect(timeout.compute()).to.equal(30);
  });

  it('grows when response times are long or vary', () => {
    const timeout = new AnswerTimeout(BOUNDS);
    for (let at = 0; at < 40; at += 1) timeout.recordAnswer(at % 2 === 0 ? 10 : 40);
    expect(timeout.compute()).to.be.within(60, 119);
  });

  it('doubles with each timeout, up to the maximum, and resets with the next answer', () => {
    const timeout = new AnswerTimeout(BOUNDS);
    for (let at = 0; at < 20; at += 1) timeout.recordAnswer(2);
    timeout.recordTimeout();
    expect(timeout.compute()).to.equal(60);
    for (let at = 0; at < 10; at += 1) timeout.recordTimeout();
    expect(timeout.compute()).to.equal(120);
    timeout.recordAnswer(2);
    expect(timeout.compute()).to.equal(30);
  });
});
