import { deflateSync } from 'node:zlib';

import { expect } from 'chai';

import { buildRoutes } from '../../../test/fakes/buildRoutes.js';
import {
  checkEncodedConfiguration,
  decodeConfiguration,
  encodeConfiguration,
} from './encodedConfiguration.js';

const LIMITS = { maxBodyBytes: 1_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 };
const CONFIGURATION = { version: 7, routes: buildRoutes(200, 7), limits: LIMITS };

function pack(text: string): string {
  return deflateSync(text).toString('base64');
}

describe('encodedConfiguration', () => {
  it('decodes an encoded configuration', () => {
    const text = encodeConfiguration(CONFIGURATION);
    expect(checkEncodedConfiguration(text)).to.equal('');
    expect(decodeConfiguration(text)).to.deep.equal({ ok: true, configuration: CONFIGURATION });
  });

  it('rejects a truncated or altered text', () => {
    const text = encodeConfiguration(CONFIGURATION);
    const middle = text.length / 2;
    for (const wrong of [
      '',
      'no base64 at all',
      text.slice(0, -8),
      `${text.slice(0, middle)}${'A'.repeat(middle)}`,
    ]) {
      expect(checkEncodedConfiguration(wrong)).to.not.equal('');
      expect(decodeConfiguration(wrong).ok).to.equal(false);
    }
  });

  it('rejects a text that holds no configuration', () => {
    for (const text of ['', '{', 'null', '[]', '{"version":1}', '{"version":1,"routes":[{}],"limits":{}}'])
      expect(decodeConfiguration(pack(text)).ok, text).to.equal(false);
  });

  it('rejects a text that decompresses beyond the limit', () => {
    const text = pack(' '.repeat(64 * 1024 * 1024));
    expect(text.length).to.be.lessThan(100_000);
    expect(checkEncodedConfiguration(text)).to.not.equal('');
    expect(decodeConfiguration(text).ok).to.equal(false);
  });
});
