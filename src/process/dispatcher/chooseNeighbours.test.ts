import { expect } from 'chai';

import { chooseNeighbours } from './chooseNeighbours.js';

const OTHERS = ['c:1', 'a:1', 'd:1', 'e:1'];

describe('chooseNeighbours', () => {
  it('chooses those that follow in the order of addresses', () => {
    expect([...chooseNeighbours('b:1', OTHERS, 2, () => true)]).to.deep.equal(['c:1', 'd:1']);
    expect([...chooseNeighbours('e:1', ['a:1', 'b:1', 'c:1'], 2, () => true)]).to.deep.equal(['a:1', 'b:1']);
  });

  it('goes on past those that are not linked', () => {
    const isLinked = (address: string): boolean => address !== 'c:1';
    expect([...chooseNeighbours('b:1', OTHERS, 2, isLinked)]).to.deep.equal(['c:1', 'd:1', 'e:1']);
  });

  it('chooses none where none is missing', () => {
    expect(chooseNeighbours('b:1', OTHERS, 0, () => true).size).to.equal(0);
    expect(chooseNeighbours('b:1', OTHERS, -1, () => true).size).to.equal(0);
  });
});
