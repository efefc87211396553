import { expect } from 'chai';

import { deriveInputLimits } from './deriveInputLimits.js';

describe('deriveInputLimits', () => {
  it('divides memory and descriptors of a VM', () => {
    const limits = deriveInputLimits({ memoryMb: 160, maxDescriptors: 4_100, maxInputBytes: 0 });
    expect(limits).to.deep.equal({ maxBytes: 20 * 1_024 * 1_024, maxConnections: 2_600, maxLinks: 975 });
  });

  it('prefers the size that is set', () => {
    const limits = deriveInputLimits({ memoryMb: 160, maxDescriptors: 4_100, maxInputBytes: 1_000_000 });
    expect(limits.maxBytes).to.equal(1_000_000);
  });
});
