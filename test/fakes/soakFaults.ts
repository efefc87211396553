/** The faults that a soak draws from, each with the end of its own disturbance. */
import { setTimeout as sleep } from 'node:timers/promises';

import type { DirectionMode, LoopbackProxy } from './LoopbackProxy.js';
import type { PlatformBench } from './PlatformBench.js';

/** Longest disturbance, ms; some last as long as it takes to count as lost, most are shorter. */
const LONGEST_MS = 2_500;
const MAX_DELAY_MS = 120;
const MUTED_STARTS = 5;

/** One fault. */
export interface SoakFault {
  readonly name: string;
  /** Disturbs, waits and heals. */
  readonly play: () => Promise<void>;
}

/** What a fault may strike. */
export interface SoakSizes {
  readonly entries: number;
  readonly agents: number;
}

type Build = (bench: PlatformBench, target: SoakTarget, ms: number, strength: number) => Promise<void>;

interface SoakTarget {
  readonly daemon: string;
  readonly runner: number;
  readonly proxy: string;
}

/**
 * Draws a fault, what it strikes and how long it lasts.
 *
 * @param bench - the processes
 * @param sizes - how many there are
 * @param nextRandom - from 0 to 1
 * @param kinds - to draw from
 * @returns the fault
 */
export function drawFault(
  bench: PlatformBench,
  sizes: SoakSizes,
  nextRandom: () => number,
  kinds: readonly string[],
): SoakFault {
  const kind = kinds[Math.floor(nextRandom() * kinds.length)] ?? 'freeze';
  const entry = 1 + Math.floor(nextRandom() * sizes.entries);
  const agent = 1 + Math.floor(nextRandom() * sizes.agents);
  const daemon = nextRandom() < 0.5 ? `entry-${entry}` : `agent-${agent}`;
  const draw = nextRandom();
  const proxy = draw < 0.5 ? `entry-${entry}` : draw < 0.85 ? `runner-${agent}` : 'store';
  const ms = Math.round(LONGEST_MS * nextRandom() ** 2);
  const strength = nextRandom();
  const name = `${kind} ${daemon} ${proxy} ${ms}`;
  const target = { daemon, runner: agent - 1, proxy };
  return { name, play: () => FAULTS[kind]?.(bench, target, ms, strength) ?? Promise.resolve() };
}

/** Kinds of fault that a seed always drew from: it must go on to mean the same run. */
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

/** All kinds; connections that go silent for good come more often than others. */
export const ALL_KINDS: readonly string[] = [...EARLIER_KINDS, 'silence', 'silence', 'silence', 'silenceAll'];

/** The same, and failure domains that are emptied and taken back. */
export const DOMAIN_KINDS: readonly string[] = [...ALL_KINDS, 'evacuate', 'evacuate', 'evacuate'];

/** The same, and upstreams that crash and start again under their ids. */
export const RESTART_KINDS: readonly string[] = [
  ...DOMAIN_KINDS,
  'restartRunner',
  'restartRunner',
  'restartRunner',
  'restartRunner',
];

/** Failure domains of the agents, by turns. */
export const SOAK_DOMAINS = ['north', 'south'] as const;

/** Puts the agents into failure domains, by turns. */
export function dealDomains(agents: number): Readonly<Record<string, string>> {
  const numbers = Array.from({ length: agents }, (_, at) => at + 1);
  return Object.fromEntries(numbers.map((number) => [`agent-${number}`, findSoakDomain(number)]));
}

function findSoakDomain(agent: number): string {
  return SOAK_DOMAINS[agent % SOAK_DOMAINS.length] ?? '';
}

const FAULTS: Readonly<Record<string, Build>> = {
  freeze: async (bench, { daemon }, ms) => {
    if (!bench.isRunning(daemon)) return;
    bench.signal(daemon, 'SIGSTOP');
    await sleep(ms);
    bench.signal(daemon, 'SIGCONT');
  },
  kill: (bench, { daemon }, ms) => restart(bench, daemon, 'SIGKILL', ms / 4),
  terminate: (bench, { daemon }) => restart(bench, daemon, 'SIGTERM', 0),
  reload: async (bench, { daemon }) => {
    // Before its first line is written, Node itself still starts, and its default for the signal is to end.
    if (bench.isRunning(daemon) && bench.readOutput(daemon) !== '') bench.signal(daemon, 'SIGHUP');
  },
  cut: (bench, { proxy }, ms) => hold(bench.proxies.get(proxy), ms, 'hold', 'hold'),
  cutForth: (bench, { proxy }, ms) => hold(bench.proxies.get(proxy), ms, 'hold', 'pass'),
  cutBack: (bench, { proxy }, ms) => hold(bench.proxies.get(proxy), ms, 'pass', 'hold'),
  reset: async (bench, { proxy }) => bench.proxies.get(proxy)?.resetAll(),
  silence: async (bench, { proxy }) => bench.proxies.get(proxy)?.silenceOpen(),
  silenceAll: async (bench) => bench.silenceOpen(),
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

async function restart(
  bench: PlatformBench,
  daemon: string,
  signal: NodeJS.Signals,
  downMs: number,
): Promise<void> {
  if (!bench.isRunning(daemon) || bench.restarting.has(daemon)) return;
  bench.restarting.add(daemon);
  bench.signal(daemon, signal);
  await bench.waitForExit(daemon);
  await sleep(downMs);
  await bench.startDaemon(daemon);
  bench.restarting.delete(daemon);
}

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
