import { expect } from 'chai';
import fc from 'fast-check';

import { createInputGuard } from '../../../test/fakes/createInputGuard.js';
import { ByteCollector } from './ByteCollector.js';

describe('ByteCollector', () => {
  it('returns the bytes of any chunks in their order, also when it is used again', () => {
    const chunks = fc.array(fc.uint8Array({ maxLength: 3_000 }), { maxLength: 40 });
    fc.assert(
      fc.property(chunks, chunks, (first, second) => {
        const collector = new ByteCollector(undefined);
        for (const all of [first, second]) {
          for (const chunk of all) collector.add(Buffer.from(chunk));
          expect(collector.length).to.equal(Buffer.concat(all).length);
          expect(collector.take().equals(Buffer.concat(all))).to.equal(true);
        }
      }),
    );
  });

  // A body of 262,144 one-byte chunks took some 90 MB, an object for each.
  it('holds little more than the bytes when they arrive one by one', () => {
    const { budget } = createInputGuard();
    const account = budget.open('callers', 10, () => undefined);
    const empty = budget.heldBytes;
    const collector = new ByteCollector(account);
    const size = 262_144;
    for (let number = 0; number < size; number += 1) collector.add(Buffer.from('x'));
    expect(budget.heldBytes - empty)
      .to.be.at.least(size)
      .and.at.most(size + 65_536);
    expect(collector.take().length).to.equal(size);
    expect(budget.heldBytes).to.equal(empty);
  });

  it('does not keep a large buffer for a small part of it', () => {
    const { budget } = createInputGuard();
    const account = budget.open('callers', 10, () => undefined);
    const empty = budget.heldBytes;
    const collector = new ByteCollector(account);
    collector.add(Buffer.alloc(65_536).subarray(0, 10));
    expect(budget.heldBytes - empty).to.be.at.most(1_024);
  });

  it('stays empty when the budget closes its connection while it collects', () => {
    const { budget, limits } = createInputGuard();
    const account = budget.open('callers', 10, () => undefined);
    const collector = new ByteCollector(account);
    account?.closeWith(() => collector.clear());
    const chunk = Buffer.alloc(100_000);
    for (let size = 0; size < limits.maxBytes; size += chunk.length) collector.add(chunk);
    expect(budget.heldBytes).to.equal(0);
    expect(budget.connections).to.equal(0);
  });
});
