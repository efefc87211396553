/** What the operators write, as read from a stand-in of the platform's store. */
import { expect } from 'chai';

import { LogConfigurationSource } from '../platform/LogConfigurationSource.js';
import { OperatorExchange } from '../src/process/OperatorExchange.js';
import { buildRoutes } from './fakes/buildRoutes.js';
import { StoreStandin } from '../standins/protocol/StoreStandin.js';

const LOOK_MS = 10;

describe('the reader of what the operators write', function () {
  this.timeout(20_000);
  let store: StoreStandin;
  let source: LogConfigurationSource;
  let exchange: OperatorExchange;
  let rejected: string[];
  let lists: string[];
  let states: string[];

  beforeEach(async () => {
    store = new StoreStandin();
    const address = (await store.start('127.0.0.1', 0)).slice('http://'.length);
    source = new LogConfigurationSource(address);
    rejected = [];
    lists = [];
    states = [];
    exchange = new OperatorExchange({
      changeConfiguration: () => undefined,
      changeEmptied: ({ domains }) => lists.push(domains.join()),
    });
  });

  afterEach(async () => {
    source.stop();
    await store.stop();
  });

  function start(): void {
    source.start({
      adopt: (configuration) => exchange.adoptConfiguration(configuration, 'store'),
      adoptEmptied: (emptied) => exchange.adoptEmptied(emptied, 'store'),
      changeDomain: (change) => exchange.changeDomain(change, 'store'),
      reportFindings: (subject, findings) => rejected.push(`${subject} ${findings[0]?.pointer}`),
      reportState: (state) => states.push(state),
    });
  }

  async function waitFor(holds: () => boolean): Promise<void> {
    while (!holds()) await new Promise((resolve) => setTimeout(resolve, LOOK_MS));
  }

  async function waitForList(list: string): Promise<void> {
    await waitFor(() => exchange.emptied?.domains.join() === list);
  }

  it('knows what was written before it came, also without a configuration', async () => {
    store.putEvacuation('north');
    store.putEvacuation('south');
    store.dropEvacuation('south');
    start();
    await waitForList('north');
    expect(exchange.configuration).to.equal(undefined);
    store.putConfiguration({ version: 3 });
    await waitFor(() => exchange.configuration?.version === 3);
  });

  it('hears of each change, two of one domain in a row among them', async () => {
    start();
    await waitForList('');
    store.putEvacuation('north');
    store.dropEvacuation('north');
    store.putEvacuation('south');
    await waitForList('south');
    expect(lists.filter((list) => list.includes('north'))).to.have.length(1);
  });

  it('reads on after its history was dropped, and what was taken back meanwhile is taken back', async () => {
    store.putEvacuation('north');
    start();
    await waitForList('north');
    store.fault = 'busy';
    store.dropEvacuation('north');
    store.putEvacuation('south');
    store.compact();
    store.fault = 'none';
    await waitForList('south');
  });

  it('keeps what it knows while the store is silent, and hears what was written meanwhile', async () => {
    store.putEvacuation('north');
    start();
    await waitForList('north');
    store.fault = 'silent';
    await waitFor(() => states.includes('unreachable'));
    store.putEvacuation('south');
    expect(exchange.emptied?.domains).to.deep.equal(['north']);
    store.fault = 'none';
    await waitForList('north,south');
  });

  it('passes over what is no evacuation, and says so', async () => {
    store.putConfiguration({ version: 3 });
    store.putEvacuation('east', '[]');
    store.putEvacuation('west', '{');
    store.putEvacuation('');
    start();
    await waitFor(() => exchange.configuration?.version === 3);
    expect(exchange.emptied?.domains).to.deep.equal([]);
    expect(rejected).to.deep.equal([
      'evacuation /evacuate/east',
      'evacuation /evacuate/west',
      'evacuation /evacuate/',
    ]);
    store.putEvacuation('south', 'null');
    store.putEvacuation('north');
    await waitForList('north');
  });

  it('takes a hundred of them', async () => {
    for (let at = 0; at < 100; at += 1) store.putEvacuation(`domain-${at}`);
    start();
    await waitFor(() => exchange.emptied?.domains.length === 100);
    for (let at = 0; at < 100; at += 1) store.dropEvacuation(`domain-${at}`);
    await waitForList('');
  });

  it('hears of a change that its reads are told nothing of', async () => {
    store.putConfiguration({ version: 3 });
    start();
    await waitFor(() => exchange.configuration?.version === 3);
    store.hidesRecords = true;
    store.putConfiguration({ version: 9 });
    store.putEvacuation('north');
    await waitForList('north');
    expect(exchange.configuration?.version).to.equal(9);
  });

  it('reads nothing whole while nothing is written', async () => {
    store.putConfiguration({ version: 3, routes: [{ name: 'wrong' }] });
    start();
    await waitFor(() => exchange.configuration?.version === 3);
    await waitFor(() => store.endReads >= 2);
    expect([store.wholeReads, rejected.length]).to.deep.equal([1, 1]);
  });

  it('reads a configuration once, also when all records are read again', async () => {
    store.putConfiguration({ version: 3, routes: [{ name: 'wrong' }] });
    start();
    await waitFor(() => exchange.configuration?.version === 3);
    store.hidesRecords = true;
    store.putEvacuation('north');
    await waitForList('north');
    expect([store.wholeReads, rejected.length]).to.deep.equal([2, 1]);
  });

  it('takes the routes that are right of a large configuration that comes slowly, and says where others are wrong', async () => {
    store.bytesPerMs = 250;
    const routes = buildRoutes(1_500, 3).map(({ name, host, pathPrefix, service }, at) => {
      return { name, host, path_prefix: pathPrefix, service: at % 500 === 7 ? 7 : service };
    });
    store.putConfiguration({ version: 3, routes });
    start();
    await waitFor(() => exchange.configuration?.version === 3);
    expect(exchange.configuration?.routes).to.have.length(1_497);
    expect(rejected).to.deep.equal(['configuration /routes/7/service']);
    expect(states).to.deep.equal([]);
  });

  it('reads all pages of the newest records', async () => {
    store.pageItems = 2;
    for (const domain of ['a', 'b', 'c', 'd', 'e']) store.putEvacuation(domain);
    start();
    await waitForList('a,b,c,d,e');
  });
});
