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

describe('DispatcherDirectory', () => {
  let directory: DispatcherDirectory;

  beforeEach(() => {
    directory = new DispatcherDirectory('agent-1', MAX_LINKS);
    directory.recordSeeds(['10.0.0.0:1', '10.0.0.1:1'], 0);
  });

  it('links to the seeds while no other dispatcher is known', () => {
    expect([...directory.chooseLinks(0)]).to.have.members(['10.0.0.0:1', '10.0.0.1:1']);
  });

  it('links to the maximum number, spread evenly over the failure domains', () => {
    directory.recordMembers(PLACES, 0);
    const wanted = directory.chooseLinks(0);
    const domains = PLACES.filter(({ address }) => wanted.has(address)).map((place) => place.failureDomain);
    expect(domains.sort()).to.deep.equal(['d0', 'd0', 'd1', 'd1', 'd2', 'd2']);
  });

  it('gives all dispatchers a similar number of executors', () => {
    const counts = new Map<string, number>();
    for (let executor = 0; executor < 70; executor += 1) {
      const executorDirectory = new DispatcherDirectory(`agent-${executor}`, MAX_LINKS);
      executorDirectory.recordMembers(PLACES, 0);
      for (const address of executorDirectory.chooseLinks(0))
        counts.set(address, (counts.get(address) ?? 0) + 1);
    }
    expect(counts.size).to.equal(12);
    for (const count of counts.values()) expect(count).to.be.within(24, 46);
  });

  it('adds a substitute for an unresponsive dispatcher, and drops it when that one answers again', () => {
    directory.recordMembers(PLACES, 0);
    const before = directory.chooseLinks(0);
    const [unresponsive = '', ...others] = before;
    keepAlive(directory, before, 10);
    keepAlive(directory, others, 1_100);
    const during = directory.chooseLinks(1_100);
    expect([...during]).to.include.members([...before]);
    expect(during.size).to.equal(MAX_LINKS + 1);
    keepAlive(
      directory,
      [...during].filter((address) => address !== unresponsive),
      1_500,
    );
    directory.recordAlive(unresponsive, 1_600);
    expect([...directory.chooseLinks(1_600)]).to.have.members([...before]);
  });

  it('does not count a pause of its own process as unresponsiveness of others', () => {
    directory.recordMembers(PLACES, 0);
    const before = directory.chooseLinks(0);
    keepAlive(directory, before, 10);
    directory.handlePause(5_000);
    expect([...directory.chooseLinks(5_010)]).to.have.members([...before]);
  });

  it('lists only responsive dispatchers, and removes those that nobody reports', () => {
    directory.recordMembers(PLACES, 0);
    directory.chooseLinks(0);
    directory.recordAlive('10.0.0.5:1', 10);
    expect(directory.listAlive(500).map(({ address }) => address)).to.deep.equal(['10.0.0.5:1']);
    expect(directory.listAlive(1_500)).to.deep.equal([]);
    expect([...directory.chooseLinks(21_000)]).to.have.members(['10.0.0.0:1', '10.0.0.1:1']);
  });

  it('links to all dispatchers if there are few', () => {
    directory.recordMembers(PLACES.slice(0, 5), 0);
    expect(directory.chooseLinks(0).size).to.equal(5);
  });

  it('prefers one responsive dispatcher, and another one while that is unresponsive', () => {
    directory.recordMembers(PLACES, 0);
    const wanted = directory.chooseLinks(0);
    expect(directory.choosePreferred(wanted, 0)).to.equal(undefined);
    keepAlive(directory, wanted, 10);
    const preferred = directory.choosePreferred(wanted, 20) ?? '';
    expect([...wanted]).to.include(preferred);
    const others = [...wanted].filter((address) => address !== preferred);
    keepAlive(directory, others, 1_100);
    expect(others).to.include(directory.choosePreferred(wanted, 1_200));
    directory.recordAlive(preferred, 1_300);
    expect(directory.choosePreferred(wanted, 1_310)).to.equal(preferred);
  });

  it('spreads the preferences of many executors over the dispatchers', () => {
    const counts = new Map<string, number>();
    for (let executor = 0; executor < 70; executor += 1) {
      const executorDirectory = new DispatcherDirectory(`agent-${executor}`, MAX_LINKS);
      executorDirectory.recordMembers(PLACES, 0);
      const wanted = executorDirectory.chooseLinks(0);
      keepAlive(executorDirectory, wanted, 10);
      const preferred = executorDirectory.choosePreferred(wanted, 20) ?? '';
      counts.set(preferred, (counts.get(preferred) ?? 0) + 1);
    }
    expect(counts.size).to.equal(12);
    for (const count of counts.values()) expect(count).to.be.within(1, 14);
  });

  it('links to all dispatchers of a small fleet, and to some of a larger one', () => {
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
