/** Soak tests: `npm run soak -- --seed N --minutes M`. Prints the seed and shrunk commands of a failure. */
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
import { orphanCommands } from '../test/fakes/orphanCommands.js';
import { runDispatchSimulation, runOrphanSimulation } from '../test/fakes/runDispatchSimulation.js';
import { runProcessSoak } from './runProcessSoak.js';
import { RUN_AGENTS, RUN_ENTRIES, clusterCommands } from '../test/fakes/clusterCommands.js';

/** Number of runs per batch, each of which prints a line of progress. */
const BATCH_RUNS = 200;

/** Time limit of a batch, ms; it also limits the shrinking of a failure. */
const BATCH_MS = 120_000;

/** Probabilities of link faults, used by the batches in turn. */
const LINK_FAULTS = [
  { drop: 0, repeat: 0, late: 0 },
  { drop: 0.02, repeat: 0.02, late: 0.05 },
  { drop: 0.1, repeat: 0.05, late: 0.2 },
];

const totals = { runs: 0, commands: 0, tasks: 0, answers: 0, complete: 0, refused: 0, failed: 0 };

/** Number of failed jobs by reason. */
const reasons = new Map<string, number>();

function runBatch(seed: number): void {
  const faults = LINK_FAULTS[seed % LINK_FAULTS.length] as (typeof LINK_FAULTS)[number];
  const property = fc.property(clusterCommands, fc.integer(), (commands, simulationSeed) => {
    const simulation = new ClusterSimulation({
      seed: simulationSeed,
      entries: RUN_ENTRIES,
      agents: RUN_AGENTS,
      faults,
    });
    const model = { commands: 0 };
    fc.modelRun(() => ({ model, real: simulation }), commands);
    simulation.settle();
    addRunTotals(simulation, model.commands);
  });
  fc.assert(property, { numRuns: BATCH_RUNS, seed, interruptAfterTimeLimit: BATCH_MS });
}

function addRunTotals(simulation: ClusterSimulation, commands: number): void {
  totals.runs += 1;
  totals.commands += commands;
  totals.tasks += simulation.starts.size;
  for (const { answer } of simulation.submissions) {
    if (!answer) continue;
    totals.answers += 1;
    if (answer.outcome === 'complete') totals.complete += 1;
    if (answer.outcome === 'refused') totals.refused += 1;
    if (answer.outcome !== 'failed') continue;
    totals.failed += 1;
    reasons.set(answer.reason, (reasons.get(answer.reason) ?? 0) + 1);
  }
}

async function runSoak(core: string, seed: number): Promise<void> {
  if (core === 'processes') return console.log(JSON.stringify(await runProcessSoak(seed)));
  if (core === 'orphans')
    return console.log(JSON.stringify(await runOrphanSimulation(orphanCommands, seed, BATCH_RUNS, true)));
  const simulationCommands = DISPATCH_COMMANDS[core];
  if (simulationCommands) {
    return console.log(
      JSON.stringify(
        await runDispatchSimulation(
          simulationCommands,
          seed,
          BATCH_RUNS,
          true,
          simulationCommands === restartCommands,
        ),
      ),
    );
  }
  runBatch(seed);
  console.log(JSON.stringify({ seed, ...totals, reasons: Object.fromEntries(reasons) }));
}

/** Commands for the simulation of dispatchers and executors, by name of the core. */
const DISPATCH_COMMANDS: Readonly<Record<string, typeof dispatchCommands>> = {
  dispatch: dispatchCommands,
  late: lateReportCommands,
  domains: domainCommands,
  restarts: restartCommands,
  suspensions: suspensionCommands,
  rooms: capacityCommands,
};

const CORE_HELP =
  'registrar (entries and agents), dispatch (dispatchers and executors), late (with late reports of earlier incarnations), domains (with evacuated failure domains), restarts (with upstreams that keep their ids), suspensions (with suspended VMs and clock changes), rooms (with changing capacity), orphans (with many lost or late stops, and callers that come again) or processes (real processes of the platform)';

const cli = cac('soak');
cli.option('--core <name>', CORE_HELP, { default: 'registrar' });
cli.option('--seed <number>', 'first seed', { default: 1 });
cli.option('--minutes <number>', 'how long to run', { default: 5 });
cli.help();
const { options } = cli.parse();
const until = Date.now() + Number(options['minutes']) * 60_000;
let seed = Number(options['seed']);
while (Date.now() < until) {
  try {
    await runSoak(String(options['core']), seed);
  } catch (error) {
    console.error(`seed ${seed}: ${String(error instanceof Error ? error.message : error)}`);
    if (error instanceof Error && error.cause instanceof Error) console.error(error.cause.stack);
    process.exit(1);
  }
  seed += 1;
}
// Sockets of the last run may still be open.
process.exit(0);
