import { expect } from 'chai';

import { copyText } from './copyText.js';

describe('copyText', () => {
  it('returns the same text', () => {
    for (const text of ['', '5c0e7a21d94b36f8', 'ä%20\u{1f600}']) expect(copyText(text)).to.equal(text);
  });
});
