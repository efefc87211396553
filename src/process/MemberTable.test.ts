import { expect } from 'chai';

import { MemberTable } from './MemberTable.js';

const PLACES = Array.from({ length: 30 }, (_, at) => ({ address: `10.0.0.${at}:1`, failureDomain: 'x' }));

describe('MemberTable', () => {
  let table: MemberTable;

  beforeEach(() => {
    table = new MemberTable();
  });

  it('returns the dispatchers that are new', () => {
    expect(table.record(PLACES.slice(0, 2), 0)).to.deep.equal(PLACES.slice(0, 2));
    expect(table.record(PLACES.slice(1, 3), 10)).to.deep.equal(PLACES.slice(2, 3));
  });

  it('removes dispatchers that are no longer reported', () => {
    table.record(PLACES.slice(0, 1), 0);
    table.record(PLACES.slice(1, 2), 10_000);
    expect(table.list(16_000)).to.deep.equal(PLACES.slice(1, 2));
  });

  it('selects all dispatchers in rotation', () => {
    table.record(PLACES, 0);
    const selected = new Set<string>();
    for (let turn = 0; turn < 3; turn += 1)
      for (const { address } of table.selectNext(12, 10)) selected.add(address);
    expect(selected.size).to.equal(30);
    expect(table.selectNext(40, 10)).to.deep.equal(PLACES);
  });
});
