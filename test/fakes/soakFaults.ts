/** Faults of the soak test; each fault ends its own disturbance. */
import { setTimeout as sleep } from 'node:timers/promises';

import type { DirectionMode, LoopbackProxy } from './LoopbackProxy.js';
import type { PlatformBench } from './PlatformBench.js';
import { CALL_FAULTS, LOSSY_FAULTS } from './callFaultKinds.js';
import { restartDaemon } from './restartDaemon.js';

/** Longest disturbance, ms; long enough to exceed the orphan timeout. */
const LONGEST_MS = 2_500;
const MAX_DELAY_MS = 120;
const MUTED_STARTS = 5;
/** How many times each fault of calls is listed, so that it is drawn more often than others. */
const CALL_KIND_WEIGHT = 4;
const LOSSY_KIND_WEIGHT = 15;

/** Fault of a soak test. */
export interface SoakFault {
  readonly name: string;
  /** Injects the fault, waits and ends it. */
  readonly inject: () => Promise<void>;
}

/** Number of processes that a fault may affect. */
export interface SoakSizes {
  readonly entries: number;
  readonly agents: number;
}

type Build = (bench: PlatformBench, target: SoakTarget, ms: number, strength: number) => Promise<void>;

interface SoakTarget {
  readonly daemon: string;
  readonly dispatcher: string;
  readonly runner: number;
  readonly proxy: string;
}

/**
 * Draws a fault, its target and its duration.
 *
 * @param bench - the processes
 * @param sizes - number of processes
 * @param nextRandom - returns a number from 0 to 1
 * @param kinds - kinds to draw from
 * @returns the fault
 */
export function drawFault(
  bench: PlatformBench,
  sizes: SoakSizes,
  nextRandom: () => number,
  kinds: readonly string[],
): SoakFault {
  const kind = kinds[Math.floor(nextRandom() * kinds.length)] ?? 'freeze';
  const dispatcher = 1 + Math.floor(nextRandom() * sizes.entries);
  const executor = 1 + Math.floor(nextRandom() * sizes.agents);
  const daemon = nextRandom() < 0.5 ? `entry-${dispatcher}` : `agent-${executor}`;
  const draw = nextRandom();
  const proxy = draw < 0.5 ? `entry-${dispatcher}` : draw < 0.85 ? `runner-${executor}` : 'store';
  const ms = Math.round(LONGEST_MS * nextRandom() ** 2);
  const strength = nextRandom();
  const name = `${kind} ${daemon} ${proxy} ${ms}`;
  const target = { daemon, dispatcher: `entry-${dispatcher}`, runner: executor - 1, proxy };
  const build = FAULTS[kind] ?? CALL_FAULTS[kind] ?? LOSSY_FAULTS[kind];
  return { name, inject: () => build?.(bench, target, ms, strength) ?? Promise.resolve() };
}

/** Basic kinds of faults. The list must not change, so that a seed reproduces its run. */
export const EARLIER_KINDS: readonly string[] = [
  'freeze',
  'kill',
  'terminate',
  'reload',
  'cut',
  'cutForth',
  'cutBack',
  'reset',
  'delay',
  'muteOrders',
  'failTasks',
  'store',
  'forgetHistory',
  'configure',
];

/** Adds unresponsive connections, which are drawn more often than other faults. */
export const ALL_KINDS: readonly string[] = [...EARLIER_KINDS, 'silence', 'silence', 'silence', 'silenceAll'];

/** Adds failure domains that are emptied and restored. */
export const DOMAIN_KINDS: readonly string[] = [...ALL_KINDS, 'evacuate', 'evacuate', 'evacuate'];

/** Adds upstreams that crash and restart under their ids. */
export const RESTART_KINDS: readonly string[] = [
  ...DOMAIN_KINDS,
  'restartRunner',
  'restartRunner',
  'restartRunner',
  'restartRunner',
];

/** Adds lost and late calls to runners, and series of kills and pauses meanwhile. */
export const CALL_KINDS: readonly string[] = [
  ...RESTART_KINDS,
  ...repeatKinds(CALL_FAULTS, CALL_KIND_WEIGHT),
];

/** Adds pauses of dispatchers and unresponsive links while all stops are lost. */
export const LOSSY_KINDS: readonly string[] = [
  ...CALL_KINDS,
  ...repeatKinds(LOSSY_FAULTS, LOSSY_KIND_WEIGHT),
];

function repeatKinds(faults: Readonly<Record<string, unknown>>, times: number): string[] {
  return Object.keys(faults).flatMap((kind) => Array.from({ length: times }, () => kind));
}

/** Failure domains, assigned to executors in turn. */
export const SOAK_DOMAINS = ['north', 'south'] as const;

/** Assigns the executors to failure domains in turn. */
export function assignDomains(executors: number): Readonly<Record<string, string>> {
  const numbers = Array.from({ length: executors }, (_, at) => at + 1);
  return Object.fromEntries(numbers.map((number) => [`agent-${number}`, findSoakDomain(number)]));
}

function findSoakDomain(executor: number): string {
  return SOAK_DOMAINS[executor % SOAK_DOMAINS.length] ?? '';
}

const FAULTS: Readonly<Record<string, Build>> = {
  freeze: async (bench, { daemon }, ms) => {
    if (!bench.isRunning(daemon)) return;
    bench.signal(daemon, 'SIGSTOP');
    await sleep(ms);
    bench.signal(daemon, 'SIGCONT');
  },
  kill: (bench, { daemon }, ms) => restartDaemon(bench, daemon, 'SIGKILL', ms / 4),
  terminate: (bench, { daemon }) => restartDaemon(bench, daemon, 'SIGTERM', 0),
  reload: async (bench, { daemon }) => {
    // Until the first output Node is still starting, and SIGHUP would end the process.
    if (bench.isRunning(daemon) && bench.readOutput(daemon) !== '') bench.signal(daemon, 'SIGHUP');
  },
  cut: (bench, { proxy }, ms) => hold(bench.proxies.get(proxy), ms, 'hold', 'hold'),
  cutForth: (bench, { proxy }, ms) => hold(bench.proxies.get(proxy), ms, 'hold', 'pass'),
  cutBack: (bench, { proxy }, ms) => hold(bench.proxies.get(proxy), ms, 'pass', 'hold'),
  reset: async (bench, { proxy }) => bench.proxies.get(proxy)?.resetAll(),
  silence: async (bench, { proxy }) => bench.proxies.get(proxy)?.silenceConnections(),
  silenceAll: async (bench) => bench.silenceConnections(),
  delay: async (bench, { proxy }, ms, strength) => {
    bench.proxies.get(proxy)?.setDelay(MAX_DELAY_MS * strength);
    await sleep(ms);
    bench.proxies.get(proxy)?.setDelay(0);
  },
  restartRunner: async (bench, { runner }, ms) => {
    const id = `runner-${runner + 1}`;
    if (bench.restarting.has(id)) return;
    bench.restarting.add(id);
    await bench.runners[runner]?.restart(ms / 2);
    bench.restarting.delete(id);
  },
  muteOrders: async (bench, { runner }) => {
    const one = bench.runners[runner];
    if (one) one.unansweredStarts = MUTED_STARTS;
  },
  failTasks: async (bench, { runner }, ms) => {
    const one = bench.runners[runner];
    if (!one) return;
    one.fails = true;
    await sleep(ms);
    one.fails = false;
  },
  store: async (bench, _, ms, strength) => {
    bench.store.fault = strength < 0.33 ? 'busy' : strength < 0.66 ? 'silent' : 'reset';
    await sleep(ms);
    bench.store.fault = 'none';
  },
  forgetHistory: async (bench) => bench.store.compact(),
  evacuate: async (bench, { runner }, ms) => {
    const domain = findSoakDomain(runner + 1);
    bench.store.putEvacuation(domain);
    await sleep(ms);
    bench.store.dropEvacuation(domain);
  },
  configure: async (bench) => bench.putConfiguration(['/q/']),
};

async function hold(
  proxy: LoopbackProxy | undefined,
  ms: number,
  forth: DirectionMode,
  back: DirectionMode,
): Promise<void> {
  proxy?.setMode('forth', forth);
  proxy?.setMode('back', back);
  await sleep(ms);
  proxy?.setMode('forth', 'pass');
  proxy?.setMode('back', 'pass');
}
