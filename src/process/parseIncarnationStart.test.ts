import { expect } from 'chai';

import { createIncarnation } from './createIncarnation.js';
import { parseIncarnationStart } from './parseIncarnationStart.js';

describe('parseIncarnationStart', () => {
  it('returns the start time that an incarnation was created with', () => {
    expect(parseIncarnationStart(createIncarnation('side-a-1', 1_796_313_913_776))).to.equal(
      1_796_313_913_776,
    );
  });

  it('returns NaN for other texts', () => {
    expect(parseIncarnationStart('')).to.be.NaN;
    expect(parseIncarnationStart('a@-1')).to.be.NaN;
  });
});
