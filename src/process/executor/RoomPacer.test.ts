import { expect } from 'chai';

import { RoomPacer } from './RoomPacer.js';

describe('RoomPacer', () => {
  it('gathers changes for a few ms while echoes come at once', () => {
    const pacer = new RoomPacer();
    pacer.noteEcho(2);
    pacer.noteTold(1_000);
    expect(pacer.findWait(1_001)).to.equal(4);
    expect(pacer.findWait(2_000)).to.equal(4);
  });

  it('tells less often with each late echo, up to a bound', () => {
    const pacer = new RoomPacer();
    pacer.noteTold(1_000);
    pacer.noteEcho(300);
    expect(pacer.findWait(1_000)).to.equal(8);
    for (let echo = 0; echo < 20; echo += 1) pacer.noteEcho(300);
    expect(pacer.findWait(1_000)).to.equal(120);
  });

  it('comes back to its pace once echoes come at once again', () => {
    const pacer = new RoomPacer();
    for (let echo = 0; echo < 20; echo += 1) pacer.noteEcho(300);
    for (let echo = 0; echo < 40; echo += 1) pacer.noteEcho(5);
    pacer.noteTold(1_000);
    expect(pacer.findWait(1_000)).to.equal(4);
  });
});
