/** Long randomised runs: `npm run soak -- --seed N --minutes M`. Prints the seed and the shrunk commands of a failure. */
import { cac } from 'cac';
import * as fc from 'fast-check';

import { ClusterSimulation } from '../test/fakes/ClusterSimulation.js';
import {
  dispatchCommands,
  domainCommands,
  lateReportCommands,
  restartCommands,
  capacityCommands,
  suspensionCommands,
} from '../test/fakes/dispatchCommands.js';
import { runDispatchSimulation } from '../test/fakes/runDispatchSimulation.js';
import { runProcessSoak } from './runProcessSoak.js';
import { RUN_AGENTS, RUN_ENTRIES, clusterCommands } from '../test/fakes/clusterCommands.js';

/** Runs between two lines of progress. */
const BATCH = 200;

/** Longest time of a batch, ms: bounds the shrinking of a failure, which is reported as far as it got. */
const BATCH_MS = 120_000;

/** Link faults that the batches go through in turn. */
const FAULTS = [
  { drop: 0, repeat: 0, late: 0 },
  { drop: 0.02, repeat: 0.02, late: 0.05 },
  { drop: 0.1, repeat: 0.05, late: 0.2 },
];

const totals = { runs: 0, commands: 0, tasks: 0, answers: 0, complete: 0, refused: 0, failed: 0 };

/** Why jobs failed. */
const reasons = new Map<string, number>();

function runBatch(seed: number): void {
  const faults = FAULTS[seed % FAULTS.length] as (typeof FAULTS)[number];
  const property = fc.property(clusterCommands, fc.integer(), (commands, worldSeed) => {
    const world = new ClusterSimulation({
      seed: worldSeed,
      entries: RUN_ENTRIES,
      agents: RUN_AGENTS,
      faults,
    });
    const model = { commands: 0 };
    fc.modelRun(() => ({ model, real: world }), commands);
    world.settle();
    countRun(world, model.commands);
  });
  fc.assert(property, { numRuns: BATCH, seed, interruptAfterTimeLimit: BATCH_MS });
}

function countRun(world: ClusterSimulation, commands: number): void {
  totals.runs += 1;
  totals.commands += commands;
  totals.tasks += world.starts.size;
  for (const { answer } of world.submissions) {
    if (!answer) continue;
    totals.answers += 1;
    if (answer.outcome === 'complete') totals.complete += 1;
    if (answer.outcome === 'refused') totals.refused += 1;
    if (answer.outcome !== 'failed') continue;
    totals.failed += 1;
    reasons.set(answer.reason, (reasons.get(answer.reason) ?? 0) + 1);
  }
}

async function runCore(core: string, seed: number): Promise<void> {
  if (core === 'processes') return console.log(JSON.stringify(await runProcessSoak(seed)));
  const drawn = DISPATCH_CORES[core];
  if (drawn) {
    return console.log(
      JSON.stringify(await runDispatchSimulation(drawn, seed, BATCH, true, drawn === restartCommands)),
    );
  }
  runBatch(seed);
  console.log(JSON.stringify({ seed, ...totals, reasons: Object.fromEntries(reasons) }));
}

/** Randomised runs of dispatchers and agents: the first ones, then those with more kinds of trouble each. */
const DISPATCH_CORES: Readonly<Record<string, typeof dispatchCommands>> = {
  dispatch: dispatchCommands,
  late: lateReportCommands,
  domains: domainCommands,
  restarts: restartCommands,
  suspensions: suspensionCommands,
  rooms: capacityCommands,
};

const CORES =
  'registrar (own interface), dispatch (platform), late (the same, with words of earlier lives), domains (with emptied failure domains), restarts (with upstreams that keep their ids) or processes (real ones, platform)';

const cli = cac('soak');
cli.option('--core <name>', CORES, { default: 'registrar' });
cli.option('--seed <number>', 'first seed', { default: 1 });
cli.option('--minutes <number>', 'how long to run', { default: 5 });
cli.help();
const { options } = cli.parse();
const until = Date.now() + Number(options['minutes']) * 60_000;
let seed = Number(options['seed']);
while (Date.now() < until) {
  try {
    await runCore(String(options['core']), seed);
  } catch (error) {
    console.error(`seed ${seed}: ${String(error instanceof Error ? error.message : error)}`);
    if (error instanceof Error && error.cause instanceof Error) console.error(error.cause.stack);
    process.exit(1);
  }
  seed += 1;
}
// Sockets of the last run may still be open.
process.exit(0);
