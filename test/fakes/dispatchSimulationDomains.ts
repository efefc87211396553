/** Failure domains of the simulation and their emptied state at each process. */
import type { StartOrder } from '../../src/connection/peer/peerMessages.js';
import type { Executor } from '../../src/process/executor/Executor.js';
import type { PeerChannel } from '../../src/process/VersionExchange.js';
import { OperatorExchange } from '../../src/process/OperatorExchange.js';
import { applyDomainChange } from '../../src/version/emptiedDomains.js';
import type { EmptiedDomains } from '../../src/version/emptiedDomains.js';
import type { ReportedVersions } from '../../src/process/OperatorExchange.js';
import type { Link, SimExecutor, SimDispatcher } from './dispatchSimulationState.js';

/** The simulation has no configurations. */
const NO_VERSION = -1;

/** Failure domains, assigned to executors in turn. */
export const DOMAINS = ['north', 'south'] as const;

/** Finds the failure domain of an executor. */
export function findDomain({ index }: { readonly index: number }): string {
  return DOMAINS[index % DOMAINS.length] ?? '';
}

function isEmptied(executor: SimExecutor): boolean {
  return executor.exchange.emptied?.domains.includes(findDomain(executor)) === true;
}

/** Creates the operator exchange of an executor. */
export function createExecutorExchange(executor: SimExecutor, core: Executor): OperatorExchange {
  return new OperatorExchange({
    changeConfiguration: () => undefined,
    changeEmptied: ({ domains }) => core.setEmptied(domains.includes(findDomain(executor))),
  });
}

/** Checks whether a dispatcher has received that an executor's failure domain is emptied. */
export function isKnownEmptied({ exchange }: SimDispatcher, executor: SimExecutor): boolean {
  return exchange.emptied?.domains.includes(findDomain(executor)) === true;
}

/** Handles a start at an executor; throws if the executor accepts it in a domain that it has received as emptied. */
export function handleStart({ executor, incarnation }: Link, order: StartOrder): void {
  const { core } = executor;
  const load = core.load;
  core.handleStart(incarnation, order);
  if (core.load > load && isEmptied(executor))
    throw new Error('an executor accepts a task in an emptied domain');
}

/** Requests a newer list of emptied domains from a peer. */
export function compareEmptied(
  exchange: OperatorExchange,
  { emptiedRevision }: Pick<ReportedVersions, 'emptiedRevision'>,
  channel: PeerChannel,
  now: number,
): void {
  exchange.compareVersions({ version: NO_VERSION, emptiedRevision }, channel, now);
}

/** Applies the next record of the operators. */
export function applyWrittenChange(
  written: EmptiedDomains = { revision: 0, domains: [] },
  domain: string,
  isEmptied: boolean,
): EmptiedDomains {
  return applyDomainChange(written, { revision: written.revision + 1, domain, isEmptied });
}
