/** Reads configurations and evacuations from a stand-in of the platform's store. */
import { expect } from 'chai';

import { LogConfigurationSource } from '../platform/LogConfigurationSource.js';
import { OperatorExchange } from '../src/process/OperatorExchange.js';
import { buildRoutes } from './fakes/buildRoutes.js';
import { StoreStandin } from '../standins/protocol/StoreStandin.js';

const POLL_MS = 10;

describe('the reader of operator records', function () {
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
    while (!holds()) await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }

  async function waitForList(list: string): Promise<void> {
    await waitFor(() => exchange.emptied?.domains.join() === list);
  }

  it('reads records that were written before its start, also without a configuration', async () => {
    store.putEvacuation('north');
    store.putEvacuation('south');
    store.dropEvacuation('south');
    start();
    await waitForList('north');
    expect(exchange.configuration).to.equal(undefined);
    store.putConfiguration({ version: 3 });
    await waitFor(() => exchange.configuration?.version === 3);
  });

  it('receives each change, also two successive ones of one domain', async () => {
    start();
    await waitForList('');
    store.putEvacuation('north');
    store.dropEvacuation('north');
    store.putEvacuation('south');
    await waitForList('south');
    expect(lists.filter((list) => list.includes('north'))).to.have.length(1);
  });

  it('continues after the history was dropped, and applies removals of the meantime', async () => {
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

  it('keeps its state while the store is unresponsive, and reads later records afterwards', async () => {
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

  it('ignores and reports invalid evacuations', async () => {
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

  it('handles a hundred evacuations', async () => {
    for (let at = 0; at < 100; at += 1) store.putEvacuation(`domain-${at}`);
    start();
    await waitFor(() => exchange.emptied?.domains.length === 100);
    for (let at = 0; at < 100; at += 1) store.dropEvacuation(`domain-${at}`);
    await waitForList('');
  });

  it('detects a change that incremental reads miss', async () => {
    store.putConfiguration({ version: 3 });
    start();
    await waitFor(() => exchange.configuration?.version === 3);
    store.hidesRecords = true;
    store.putConfiguration({ version: 9 });
    store.putEvacuation('north');
    await waitForList('north');
    expect(exchange.configuration?.version).to.equal(9);
  });

  it('does no full read while nothing is written', async () => {
    store.putConfiguration({ version: 3, routes: [{ name: 'wrong' }] });
    start();
    await waitFor(() => exchange.configuration?.version === 3);
    await waitFor(() => store.endReads >= 2);
    expect([store.wholeReads, rejected.length]).to.deep.equal([1, 1]);
  });

  it('parses a configuration once, also when all records are read again', async () => {
    store.putConfiguration({ version: 3, routes: [{ name: 'wrong' }] });
    start();
    await waitFor(() => exchange.configuration?.version === 3);
    store.hidesRecords = true;
    store.putEvacuation('north');
    await waitForList('north');
    expect([store.wholeReads, rejected.length]).to.deep.equal([2, 1]);
  });

  it('accepts the valid routes of a large configuration over a slow link, and reports the invalid ones', async () => {
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
