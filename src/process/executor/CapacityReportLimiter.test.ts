import { expect } from 'chai';

import { CapacityReportLimiter } from './CapacityReportLimiter.js';

const LINKS = 3;

describe('RoomPacer', () => {
  it('gathers changes for a few ms where none was told of late', () => {
    const pacer = new CapacityReportLimiter();
    pacer.recordRoundTrip(2);
    pacer.recordReport(1_000);
    expect(pacer.findWait(2_000, LINKS)).to.equal(4);
  });

  it('tells less often the more links there are', () => {
    const pacer = new CapacityReportLimiter();
    pacer.recordReport(1_000);
    expect(pacer.findWait(1_000, 1)).to.equal(10);
    expect(pacer.findWait(1_000, LINKS)).to.equal(30);
    expect(pacer.findWait(1_000, 6)).to.equal(60);
    expect(pacer.findWait(1_000, 100)).to.equal(120);
  });

  it('tells less often with each late echo, up to a bound', () => {
    const pacer = new CapacityReportLimiter();
    pacer.recordReport(1_000);
    pacer.recordRoundTrip(300);
    expect(pacer.findWait(1_000, LINKS)).to.equal(60);
    for (let echo = 0; echo < 20; echo += 1) pacer.recordRoundTrip(300);
    expect(pacer.findWait(1_000, LINKS)).to.equal(120);
  });

  it('comes back to its pace once echoes come at once again', () => {
    const pacer = new CapacityReportLimiter();
    for (let echo = 0; echo < 20; echo += 1) pacer.recordRoundTrip(300);
    for (let echo = 0; echo < 40; echo += 1) pacer.recordRoundTrip(5);
    pacer.recordReport(1_000);
    expect(pacer.findWait(1_000, LINKS)).to.equal(30);
  });
});
