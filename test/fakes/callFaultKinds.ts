/** Faults of the soak test that concern calls to runners, and what happens to daemons meanwhile. */
import { setTimeout as sleep } from 'node:timers/promises';

import { createLoss } from '../../standins/protocol/CallFaults.js';
import type { CallFault } from '../../standins/protocol/CallFaults.js';
import type { PlatformBench } from './PlatformBench.js';
import { restartDaemon } from './restartDaemon.js';

/** Range of the delays of calls that are carried out late, ms. */
const SHORTEST_LATE_MS = 2_000;
const LONGEST_LATE_MS = 12_000;
/** Fraction of calls that are lost if not all are. */
const LOSS_SHARE = 0.5;
/** Pauses around the age of a ping after which the work of a dispatcher is stopped (520 ms), ms. */
const SHORTEST_PAUSE_MS = 240;
const LONGEST_PAUSE_MS = 640;
const PAUSES = 4;
/** Longest time between two pauses or kills of a series, ms. */
const SERIES_GAP_MS = 300;
/** Longest time from the begin of a fault until callers' connections break, ms. */
const BREAK_DELAY_MS = 200;
const KILLS = 3;
/** Duration of faults of calls relative to other faults: a lease must be outlasted. */
const LENGTH_RATIO = 2;
/** Time for which stops remain lost at least, ms: longer than a caller takes to return. */
const AFTER_KILL_MS = 2_500;

/** Target of a fault. */
export interface CallFaultTarget {
  readonly dispatcher: string;
  readonly runner: number;
}

type Build = (bench: PlatformBench, target: CallFaultTarget, ms: number, strength: number) => Promise<void>;

/** Faults by kind. Their strength selects between resets and connections that stay open. */
export const CALL_FAULTS: Readonly<Record<string, Build>> = {
  loseStops: (bench, { runner }, ms, strength) =>
    disturb(bench, [runner], { ...createLoss(['stop']), ...drawConnection(strength) }, ms),
  loseAllStops: (bench, _, ms, strength) =>
    disturb(bench, listRunners(bench), { ...createLoss(['stop']), ...drawConnection(strength) }, ms),
  lateStops: (bench, _, ms, strength) =>
    disturb(bench, listRunners(bench), { ...LATE, kinds: ['stop'], ...drawConnection(strength) }, ms),
  lateStarts: (bench, { runner }, ms, strength) =>
    disturb(bench, [runner], { ...LATE, kinds: ['start'], ...drawConnection(strength) }, ms),
  loseHalf: (bench, _, ms, strength) =>
    disturb(
      bench,
      listRunners(bench),
      { ...createLoss(['start', 'stop', 'hold']), share: LOSS_SHARE, ...drawConnection(strength) },
      ms,
    ),
  unansweredHolds: (bench, { runner }, ms, strength) => {
    const targets = strength < 0.5 ? [runner] : listRunners(bench);
    const holds: CallFault = { ...createLoss(['hold']), outcome: 'unanswered', staysOpen: strength < 0.75 };
    return disturb(bench, targets, holds, ms);
  },
  killExecutors: async (bench, { runner }, ms, strength) => {
    const stops = { ...createLoss(['stop']), ...drawConnection(strength) };
    const lost = disturb(bench, listRunners(bench), stops, ms + AFTER_KILL_MS / LENGTH_RATIO);
    const next = (runner + 1) % bench.runners.length;
    const ids = (strength < 0.5 ? [runner] : [runner, next]).map((at) => `agent-${at + 1}`);
    await Promise.all([lost, ...ids.map((id) => restartDaemon(bench, id, 'SIGKILL', ms / 4))]);
  },
  pauseDispatcher: (bench, { dispatcher }, _, strength) => pauseRepeatedly(bench, dispatcher, strength),
  killDispatcher: async (bench, { dispatcher }, _, strength) => {
    const random = createSeries(strength);
    for (let kill = 0; kill < KILLS; kill += 1) {
      await restartDaemon(bench, dispatcher, 'SIGKILL', LONGEST_PAUSE_MS * random());
      await sleep(SERIES_GAP_MS * random());
    }
  },
};

/** Faults of dispatchers and links, whose callers' connections break, while all stops are lost, by kind. */
export const LOSSY_FAULTS: Readonly<Record<string, Build>> = {
  lossyPauses: async (bench, { dispatcher }, ms, strength) => {
    const lost = disturb(bench, listRunners(bench), createLoss(['stop']), ms + AFTER_KILL_MS / LENGTH_RATIO);
    const paused = pauseRepeatedly(bench, dispatcher, strength);
    await sleep(BREAK_DELAY_MS * strength);
    bench.breakCallers(dispatcher);
    await Promise.all([lost, paused]);
  },
  lossySilence: async (bench, { dispatcher }, ms, strength) => {
    const lost = disturb(bench, listRunners(bench), createLoss(['stop']), ms + AFTER_KILL_MS / LENGTH_RATIO);
    bench.proxies.get(dispatcher)?.silenceConnections();
    await sleep(BREAK_DELAY_MS * strength);
    bench.breakCallers(dispatcher);
    await lost;
  },
};

const LATE = {
  outcome: 'late',
  share: 1,
  shortestMs: SHORTEST_LATE_MS,
  longestMs: LONGEST_LATE_MS,
} as const;

async function pauseRepeatedly(bench: PlatformBench, dispatcher: string, strength: number): Promise<void> {
  const random = createSeries(strength);
  for (let pause = 0; pause < PAUSES; pause += 1) {
    if (!bench.isRunning(dispatcher)) return;
    bench.signal(dispatcher, 'SIGSTOP');
    await sleep(SHORTEST_PAUSE_MS + (LONGEST_PAUSE_MS - SHORTEST_PAUSE_MS) * random());
    bench.signal(dispatcher, 'SIGCONT');
    await sleep(SERIES_GAP_MS * random());
  }
}

function drawConnection(strength: number): { readonly staysOpen: boolean } {
  return { staysOpen: strength < 0.5 };
}

/** Returns a function that derives a series of numbers from 0 to 1 from one number. */
function createSeries(start: number): () => number {
  let at = start;
  return () => {
    at = (at + (Math.sqrt(5) - 1) / 2) % 1;
    return at;
  };
}

function listRunners(bench: PlatformBench): number[] {
  return bench.runners.map((_, at) => at);
}

async function disturb(
  bench: PlatformBench,
  runners: readonly number[],
  fault: CallFault,
  ms: number,
): Promise<void> {
  for (const at of runners) bench.runners[at]?.callFaults.add(fault);
  await sleep(ms * LENGTH_RATIO);
  for (const at of runners) bench.runners[at]?.callFaults.remove(fault);
}
