/** Failure domains of the randomised runs, and what each agent knows of them. */
import type { StartOrder } from '../../src/connection/peer/peerMessages.js';
import type { Executor } from '../../src/process/executor/Executor.js';
import type { PeerChannel } from '../../src/process/NewestExchange.js';
import { OperatorExchange } from '../../src/process/OperatorExchange.js';
import { applyDomainChange } from '../../src/version/emptiedDomains.js';
import type { EmptiedDomains } from '../../src/version/emptiedDomains.js';
import type { ReportedVersions } from '../../src/process/OperatorExchange.js';
import type { Link, SimExecutor, SimDispatcher } from './dispatchSimulationState.js';

/** Configurations play no part here. */
const NO_VERSION = -1;

/** Failure domains of the agents, by turns. */
export const DOMAINS = ['north', 'south'] as const;

/** Finds the failure domain of an agent. */
export function findDomain({ index }: { readonly index: number }): string {
  return DOMAINS[index % DOMAINS.length] ?? '';
}

function isEmptied(executor: SimExecutor): boolean {
  return executor.exchange.emptied?.domains.includes(findDomain(executor)) === true;
}

/** Creates what an agent knows of the operators' word. */
export function createExecutorExchange(executor: SimExecutor, core: Executor): OperatorExchange {
  return new OperatorExchange({
    changeConfiguration: () => undefined,
    changeEmptied: ({ domains }) => core.setEmptied(domains.includes(findDomain(executor))),
  });
}

/** Whether an entry knows that the failure domain of an agent is emptied. */
export function isKnownEmptied({ exchange }: SimDispatcher, executor: SimExecutor): boolean {
  return exchange.emptied?.domains.includes(findDomain(executor)) === true;
}

/** Has an agent take an order, which it must not do in a domain that it knows to be emptied. */
export function handleStart({ executor, incarnation }: Link, order: StartOrder): void {
  const { core } = executor;
  const load = core.load;
  core.handleStart(incarnation, order);
  if (core.load > load && isEmptied(executor)) throw new Error('an agent takes work in an emptied domain');
}

/** Has a process ask its peer for a newer list of emptied domains. */
export function compareEmptied(
  exchange: OperatorExchange,
  { emptiedRevision }: Pick<ReportedVersions, 'emptiedRevision'>,
  channel: PeerChannel,
  now: number,
): void {
  exchange.compareVersions({ version: NO_VERSION, emptiedRevision }, channel, now);
}

/** Writes one record more, as the operators do. */
export function applyWrittenChange(
  written: EmptiedDomains = { revision: 0, domains: [] },
  domain: string,
  isEmptied: boolean,
): EmptiedDomains {
  return applyDomainChange(written, { revision: written.revision + 1, domain, isEmptied });
}
