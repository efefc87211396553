import { expect } from 'chai';

import { CapacityReportLimiter } from './CapacityReportLimiter.js';

const LINKS = 3;

describe('CapacityReportLimiter', () => {
  it('combines changes for a few ms if none was reported recently', () => {
    const limiter = new CapacityReportLimiter();
    limiter.recordRoundTrip(2);
    limiter.recordReport(1_000);
    expect(limiter.findWait(2_000, LINKS)).to.equal(4);
  });

  it('reports less often with more links', () => {
    const limiter = new CapacityReportLimiter();
    limiter.recordReport(1_000);
    expect(limiter.findWait(1_000, 1)).to.equal(10);
    expect(limiter.findWait(1_000, LINKS)).to.equal(30);
    expect(limiter.findWait(1_000, 6)).to.equal(60);
    expect(limiter.findWait(1_000, 100)).to.equal(120);
  });

  it('reports less often with each late pong, up to a limit', () => {
    const limiter = new CapacityReportLimiter();
    limiter.recordReport(1_000);
    limiter.recordRoundTrip(300);
    expect(limiter.findWait(1_000, LINKS)).to.equal(60);
    for (let pong = 0; pong < 20; pong += 1) limiter.recordRoundTrip(300);
    expect(limiter.findWait(1_000, LINKS)).to.equal(120);
  });

  it('returns to the normal rate once pongs are timely again', () => {
    const limiter = new CapacityReportLimiter();
    for (let pong = 0; pong < 20; pong += 1) limiter.recordRoundTrip(300);
    for (let pong = 0; pong < 40; pong += 1) limiter.recordRoundTrip(5);
    limiter.recordReport(1_000);
    expect(limiter.findWait(1_000, LINKS)).to.equal(30);
  });
});
