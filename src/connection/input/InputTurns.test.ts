import { expect } from 'chai';

import { InputTurns } from './InputTurns.js';
import type { InputSource } from './InputTurns.js';

/** Source that takes some time for each piece. */
class SlowSource implements InputSource {
  constructor(
    private readonly name: string,
    private pieces: number,
    private readonly work: (name: string) => void,
  ) {}

  deliverNext(): boolean {
    this.work(this.name);
    this.pieces -= 1;
    return this.pieces > 0;
  }
}

describe('InputTurns', () => {
  let now: number;
  let delivered: string[];
  let turns: InputTurns;

  beforeEach(() => {
    now = 0;
    delivered = [];
    turns = new InputTurns(() => now);
  });

  function add(name: string, pieces: number, pieceMs: number): void {
    const work = (): void => {
      delivered.push(name);
      now += pieceMs;
    };
    turns.add(new SlowSource(name, pieces, work));
  }

  async function runTurns(count: number): Promise<void> {
    for (let turn = 0; turn < count; turn += 1) await new Promise((resolve) => setImmediate(resolve));
  }

  it('delivers a piece of each source in turn', async () => {
    add('a', 3, 0);
    add('b', 1, 0);
    add('c', 2, 0);
    await runTurns(3);
    expect(delivered.join('')).to.equal('abcaca');
  });

  // One client's pipelined requests were handled without a break, and held up links and all other clients.
  it('leaves the rest to later turns of the event loop when the time of a turn is used up', async () => {
    add('a', 100, 1);
    await runTurns(2);
    expect(delivered.length).to.be.within(1, 40);
    expect(turns.take()).to.equal(true);
    now += 1_000;
    expect(turns.take()).to.equal(false);
    await runTurns(100);
    expect(delivered.length).to.equal(100);
    expect(turns.take()).to.equal(true);
  });
});
