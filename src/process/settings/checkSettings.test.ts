import { expect } from 'chai';

import { checkSettings } from './checkSettings.js';

describe('checkSettings', () => {
  it('fills in the defaults', () => {
    const check = checkSettings('entry', { id: 'entry-1', secret: '12345678' });
    expect(check.ok && check.settings).to.deep.include({ takeoverAfterMs: 1_500 });
    expect(check.ok && check.settings.listen.httpPort).to.equal(7_420);
  });

  it('reports all findings with their pointers, including unknown keys', () => {
    const check = checkSettings('agent', { id: 'a b', slots: 0, colour: 'red' });
    const pointers = check.ok ? [] : check.findings.map(({ pointer }) => pointer);
    expect(pointers).to.have.members(['/secret', '/colour', '/id', '/slots']);
  });

  it('finds settings that contradict each other', () => {
    const check = checkSettings('agent', { id: 'a', secret: '12345678', slots: 9, connections: 8 });
    expect(check.ok ? [] : check.findings).to.deep.equal([
      { pointer: '/slots', message: 'must not exceed /connections' },
    ]);
  });
});
