import { expect } from 'chai';

import { AnswerTimeout } from './AnswerTimeout.js';

const BOUNDS = { minMs: 30, maxMs: 120, firstMs: 120 };

describe('AnswerTimeout', () => {
  it('waits longest before the first answer', () => {
    expect(new AnswerTimeout(BOUNDS).read()).to.equal(120);
  });

  it('waits shortly where answers come at once', () => {
    const timeout = new AnswerTimeout(BOUNDS);
    for (let at = 0; at < 20; at += 1) timeout.noteAnswer(2);
    expect(timeout.read()).to.equal(30);
  });

  it('waits longer where answers take long or vary', () => {
    const timeout = new AnswerTimeout(BOUNDS);
    for (let at = 0; at < 40; at += 1) timeout.noteAnswer(at % 2 === 0 ? 10 : 40);
    expect(timeout.read()).to.be.within(60, 119);
  });

  it('doubles while no answer comes, up to the longest, and forgets it with the next answer', () => {
    const timeout = new AnswerTimeout(BOUNDS);
    for (let at = 0; at < 20; at += 1) timeout.noteAnswer(2);
    timeout.noteSilence();
    expect(timeout.read()).to.equal(60);
    for (let at = 0; at < 10; at += 1) timeout.noteSilence();
    expect(timeout.read()).to.equal(120);
    timeout.noteAnswer(2);
    expect(timeout.read()).to.equal(30);
  });
});
