import { expect } from 'chai';

import { MemberTable } from './MemberTable.js';

const PLACES = Array.from({ length: 30 }, (_, at) => ({ address: `10.0.0.${at}:1`, failureDomain: 'x' }));

describe('MemberTable', () => {
  let table: MemberTable;

  beforeEach(() => {
    table = new MemberTable();
  });

  it('tells which entries are new', () => {
    expect(table.record(PLACES.slice(0, 2), 0)).to.deep.equal(PLACES.slice(0, 2));
    expect(table.record(PLACES.slice(1, 3), 10)).to.deep.equal(PLACES.slice(2, 3));
  });

  it('forgets what nobody reports', () => {
    table.record(PLACES.slice(0, 1), 0);
    table.record(PLACES.slice(1, 2), 10_000);
    expect(table.list(16_000)).to.deep.equal(PLACES.slice(1, 2));
  });

  it('goes through all entries in turns', () => {
    table.record(PLACES, 0);
    const told = new Set<string>();
    for (let turn = 0; turn < 3; turn += 1)
      for (const { address } of table.selectNext(12, 10)) told.add(address);
    expect(told.size).to.equal(30);
    expect(table.selectNext(40, 10)).to.deep.equal(PLACES);
  });
});
