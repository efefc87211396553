import { expect } from 'chai';

import { EchoWatch } from './EchoWatch.js';

const FIRST_MS = 200;

describe('EchoWatch', () => {
  let watch: EchoWatch;

  beforeEach(() => {
    watch = new EchoWatch(FIRST_MS);
  });

  it('awaits nothing before a ping, and nothing after its echo', () => {
    expect(watch.isOverdue(10_000)).to.equal(false);
    watch.notePing(0);
    watch.noteEcho(5);
    expect(watch.isOverdue(10_000)).to.equal(false);
  });

  it('counts from the oldest ping without an echo', () => {
    watch.notePing(0);
    watch.notePing(150);
    expect(watch.isOverdue(FIRST_MS)).to.equal(false);
    expect(watch.isOverdue(FIRST_MS + 1)).to.equal(true);
  });

  it('waits for as long as echoes take, and a little at least', () => {
    for (let at = 0; at < 10_000; at += 200) {
      watch.notePing(at);
      watch.noteEcho(2);
    }
    watch.notePing(10_000);
    expect(watch.isOverdue(10_080)).to.equal(false);
    expect(watch.isOverdue(10_081)).to.equal(true);
  });

  it('waits longer for a peer whose echoes come late', () => {
    for (let at = 0; at < 10_000; at += 200) {
      watch.notePing(at);
      watch.noteEcho(at % 400 === 0 ? 10 : 170);
    }
    watch.notePing(10_000);
    expect(watch.isOverdue(10_200)).to.equal(false);
  });

  it('gives up ever later while no echo comes on any connection, and at once again after one', () => {
    const waits: number[] = [];
    for (let round = 0; round < 5; round += 1) {
      watch.noteOpened();
      watch.notePing(0);
      let waited = 0;
      while (!watch.isOverdue(waited)) waited += 1;
      waits.push(waited - 1);
      watch.noteSilence();
    }
    expect(waits).to.deep.equal([200, 400, 800, 1_500, 1_500]);
    watch.noteEcho(2);
    watch.notePing(0);
    expect(watch.isOverdue(81)).to.equal(true);
  });

  it('does not give up a connection on which other bytes come, for a while', () => {
    watch.notePing(0);
    for (let now = 0; now <= 1_500; now += 100) {
      watch.noteArrival(now);
      expect(watch.isOverdue(now + 99), `at ${now}`).to.equal(now + 99 > 1_500);
    }
  });

  it('gives up a connection on which bytes came and then nothing', () => {
    watch.notePing(0);
    watch.noteArrival(150);
    expect(watch.isOverdue(150 + FIRST_MS)).to.equal(false);
    expect(watch.isOverdue(150 + FIRST_MS + 1)).to.equal(true);
  });

  it('counts no bytes of the connection before', () => {
    watch.noteArrival(100);
    watch.noteOpened();
    watch.notePing(0);
    expect(watch.isOverdue(FIRST_MS + 1)).to.equal(true);
  });

  it('does not wait longer for the next echo after one that spans a standstill', () => {
    for (let at = 0; at < 20; at += 1) watch.noteEcho(10);
    watch.noteEcho(2_000);
    watch.notePing(0);
    expect(watch.isOverdue(FIRST_MS)).to.equal(true);
  });

  it('counts anew after a pause of this process', () => {
    watch.notePing(0);
    watch.notePause(5_000);
    expect(watch.isOverdue(5_000 + FIRST_MS)).to.equal(false);
  });
});
