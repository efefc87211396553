import { expect } from 'chai';

import { RateMeter } from './RateMeter.js';

describe('RateMeter', () => {
  it('measures the rate of regular amounts, also within the first time constant', () => {
    const meter = new RateMeter(1_000);
    for (let now = 0; now < 300; now += 10) meter.add(20, now);
    expect(meter.read(300)).to.be.within(1.9, 2.2);
    for (let now = 300; now < 6_000; now += 10) meter.add(20, now);
    expect(meter.read(6_000)).to.be.within(1.9, 2.1);
  });

  it('decays over time', () => {
    const meter = new RateMeter(1_000);
    meter.add(100, 0);
    expect(meter.read(10_000)).to.be.below(0.01);
  });

  it('does not report a high rate for a single amount', () => {
    const meter = new RateMeter(1_000);
    meter.add(100, 0);
    expect(meter.read(0)).to.be.at.most(2);
  });
});
