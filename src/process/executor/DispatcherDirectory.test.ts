import { expect } from 'chai';

import { DispatcherDirectory } from './DispatcherDirectory.js';

const MAX_LINKS = 6;

const PLACES = Array.from({ length: 12 }, (_, at) => ({
  address: `10.0.0.${at}:1`,
  failureDomain: `d${at % 3}`,
}));

function keepAlive(directory: DispatcherDirectory, addresses: Iterable<string>, now: number): void {
  for (const address of addresses) directory.recordAlive(address, now);
}

describe('EntryDirectory', () => {
  let directory: DispatcherDirectory;

  beforeEach(() => {
    directory = new DispatcherDirectory('agent-1', MAX_LINKS);
    directory.recordSeeds(['10.0.0.0:1', '10.0.0.1:1'], 0);
  });

  it('links to the seeds while it knows no other entry', () => {
    expect([...directory.chooseLinks(0)]).to.have.members(['10.0.0.0:1', '10.0.0.1:1']);
  });

  it('links to as many as it may, evenly over the failure domains', () => {
    directory.recordMembers(PLACES, 0);
    const wanted = directory.chooseLinks(0);
    const domains = PLACES.filter(({ address }) => wanted.has(address)).map((place) => place.failureDomain);
    expect(domains.sort()).to.deep.equal(['d0', 'd0', 'd1', 'd1', 'd2', 'd2']);
  });

  it('gives every entry about as many agents', () => {
    const counts = new Map<string, number>();
    for (let agent = 0; agent < 70; agent += 1) {
      const one = new DispatcherDirectory(`agent-${agent}`, MAX_LINKS);
      one.recordMembers(PLACES, 0);
      for (const address of one.chooseLinks(0)) counts.set(address, (counts.get(address) ?? 0) + 1);
    }
    expect(counts.size).to.equal(12);
    for (const count of counts.values()) expect(count).to.be.within(24, 46);
  });

  it('takes another entry in the place of one that is silent, and gives it back', () => {
    directory.recordMembers(PLACES, 0);
    const before = directory.chooseLinks(0);
    const [silent = '', ...others] = before;
    keepAlive(directory, before, 10);
    keepAlive(directory, others, 1_100);
    const during = directory.chooseLinks(1_100);
    expect([...during]).to.include.members([...before]);
    expect(during.size).to.equal(MAX_LINKS + 1);
    keepAlive(
      directory,
      [...during].filter((address) => address !== silent),
      1_500,
    );
    directory.recordAlive(silent, 1_600);
    expect([...directory.chooseLinks(1_600)]).to.have.members([...before]);
  });

  it('takes the silence of a pause of its own for nothing', () => {
    directory.recordMembers(PLACES, 0);
    const before = directory.chooseLinks(0);
    keepAlive(directory, before, 10);
    directory.handlePause(5_000);
    expect([...directory.chooseLinks(5_010)]).to.have.members([...before]);
  });

  it('tells only of entries that answer, and forgets those that nobody reports', () => {
    directory.recordMembers(PLACES, 0);
    directory.chooseLinks(0);
    directory.recordAlive('10.0.0.5:1', 10);
    expect(directory.listAlive(500).map(({ address }) => address)).to.deep.equal(['10.0.0.5:1']);
    expect(directory.listAlive(1_500)).to.deep.equal([]);
    expect([...directory.chooseLinks(21_000)]).to.have.members(['10.0.0.0:1', '10.0.0.1:1']);
  });

  it('keeps links to all entries where there are few', () => {
    directory.recordMembers(PLACES.slice(0, 5), 0);
    expect(directory.chooseLinks(0).size).to.equal(5);
  });

  it('prefers one entry of those that answer, and another while that one is silent', () => {
    directory.recordMembers(PLACES, 0);
    const wanted = directory.chooseLinks(0);
    expect(directory.choosePreferred(wanted, 0)).to.equal(undefined);
    keepAlive(directory, wanted, 10);
    const home = directory.choosePreferred(wanted, 20) ?? '';
    expect([...wanted]).to.include(home);
    const others = [...wanted].filter((address) => address !== home);
    keepAlive(directory, others, 1_100);
    expect(others).to.include(directory.choosePreferred(wanted, 1_200));
    directory.recordAlive(home, 1_300);
    expect(directory.choosePreferred(wanted, 1_310)).to.equal(home);
  });

  it('has many agents prefer different entries', () => {
    const homes = new Map<string, number>();
    for (let agent = 0; agent < 70; agent += 1) {
      const one = new DispatcherDirectory(`agent-${agent}`, MAX_LINKS);
      one.recordMembers(PLACES, 0);
      const wanted = one.chooseLinks(0);
      keepAlive(one, wanted, 10);
      const home = one.choosePreferred(wanted, 20) ?? '';
      homes.set(home, (homes.get(home) ?? 0) + 1);
    }
    expect(homes.size).to.equal(12);
    for (const count of homes.values()) expect(count).to.be.within(1, 14);
  });

  it('links to all entries of a small fleet, and to some of a larger one', () => {
    const small = new DispatcherDirectory('a1', 2, 4);
    const places = [1, 2, 3, 4, 5].map((number) => ({
      address: `e${number}:1`,
      failureDomain: `d${number}`,
    }));
    small.recordMembers(places.slice(0, 4), 0);
    expect(small.chooseLinks(0).size).to.equal(4);
    small.recordMembers(places, 0);
    expect(small.chooseLinks(0).size).to.equal(2);
  });
});
