/** Commands of the randomised simulation of dispatchers and executors. */
import * as fc from 'fast-check';

import type { DispatchSimulation } from './DispatchSimulation.js';

type SimulationCommand<Simulation> = fc.AsyncCommand<object, Simulation>;

/** Most commands of one run. */
export const MAX_COMMANDS = 40;

/** Creates a command. */
export function createCommand<Simulation = DispatchSimulation>(
  name: string,
  run: (simulation: Simulation) => void | Promise<void>,
): SimulationCommand<Simulation> {
  return { check: () => true, run: async (_, simulation) => run(simulation), toString: () => name };
}

const index = fc.nat(5);
const kind = fc.constantFrom('entry' as const, 'agent' as const);
const fate = fc.constantFrom('lost' as const, 'unanswered' as const);

const submit = fc
  .tuple(
    index,
    fc.integer({ min: 1, max: 6 }),
    fc.constantFrom(20, 80, 300, 900),
    fc.constantFrom(600, 2_000, 4_000),
  )
  .map(([at, tasks, taskMs, patienceMs]) =>
    createCommand(`submit(${at},${tasks},${taskMs},${patienceMs})`, (simulation) =>
      simulation.submit(at, tasks, taskMs, patienceMs),
    ),
  );

const advance = fc
  .constantFrom(5, 20, 60, 200, 700)
  .map((ms) => createCommand(`advance(${ms})`, (simulation) => simulation.advance(ms)));

const resubmit = fc
  .tuple(fc.nat(40), index)
  .map(([job, at]) => createCommand(`resubmit(${job},${at})`, (simulation) => simulation.resubmit(job, at)));

const freeze = fc
  .tuple(kind, index, fc.constantFrom(100, 300, 600, 900, 2_500))
  .map(([what, at, ms]) =>
    createCommand(`freeze(${what},${at},${ms})`, (simulation) => simulation.freeze(what, at, ms)),
  );

const kill = fc
  .tuple(kind, index)
  .map(([what, at]) => createCommand(`kill(${what},${at})`, (simulation) => simulation.kill(what, at)));

const cut = fc
  .tuple(index, index, fc.constantFrom(100, 450, 700, 1_500, 4_000))
  .map(([dispatcher, executor, ms]) =>
    createCommand(`cut(${dispatcher},${executor},${ms})`, (simulation) =>
      simulation.cut(dispatcher, executor, ms),
    ),
  );

const reset = fc
  .tuple(index, index)
  .map(([dispatcher, executor]) =>
    createCommand(`reset(${dispatcher},${executor})`, (simulation) => simulation.reset(dispatcher, executor)),
  );

const crash = index.map((at) => createCommand(`crash(${at})`, (simulation) => simulation.crash(at)));

const disturb = fc
  .tuple(index, fate, fc.integer({ min: 1, max: 6 }))
  .map(([at, how, count]) =>
    createCommand(`disturb(${at},${how},${count})`, (simulation) => simulation.setFates(at, how, count)),
  );

const blockUpstream = fc
  .tuple(index, fc.constantFrom(100, 500, 1_200, 2_500))
  .map(([at, ms]) => createCommand(`silence(${at},${ms})`, (simulation) => simulation.blockUpstream(at, ms)));

const hang = fc
  .tuple(index, fc.boolean())
  .map(([at, hangs]) => createCommand(`hang(${at},${hangs})`, (simulation) => simulation.hang(at, hangs)));

const blockConnection = fc
  .tuple(index, index, fc.constantFrom(100, 300, 600, 1_500))
  .map(([dispatcher, executor, ms]) =>
    createCommand(`mute(${dispatcher},${executor},${ms})`, (simulation) =>
      simulation.blockConnection(dispatcher, executor, ms),
    ),
  );

const replace = index.map((at) => createCommand(`replace(${at})`, (simulation) => simulation.replace(at)));

const lateReport = index.map((at) =>
  createCommand(`lateReport(${at})`, (simulation) => simulation.deliverLateReport(at)),
);

const lateHello = fc
  .tuple(index, index)
  .map(([dispatcher, executor]) =>
    createCommand(`lateHello(${dispatcher},${executor})`, (simulation) =>
      simulation.deliverLateHello(dispatcher, executor),
    ),
  );

const changeDomain = fc
  .tuple(index, fc.boolean(), index)
  .map(([domain, isEmptied, dispatcher]) =>
    createCommand(`changeDomain(${domain},${isEmptied},${dispatcher})`, (simulation) =>
      simulation.changeDomain(domain, isEmptied, dispatcher),
    ),
  );

const restartUpstream = fc
  .tuple(index, fc.constantFrom(0, 60, 300, 1_500), fc.boolean())
  .map(([at, ms, reports]) =>
    createCommand(`restartUpstream(${at},${ms},${reports})`, (simulation) =>
      simulation.restartUpstream(at, ms, reports),
    ),
  );

const step = fc.constantFrom(0, 0, 2_000, -2_000, -600, 3_600_000, -3_600_000);

const suspend = fc
  .tuple(kind, index, fc.constantFrom(100, 300, 600, 900, 2_500, 5_000), fc.boolean(), step)
  .map(([what, at, ms, withUpstream, stepMs]) =>
    createCommand(`suspend(${what},${at},${ms},${withUpstream},${stepMs})`, (simulation) =>
      simulation.suspend(what, at, ms, withUpstream, stepMs),
    ),
  );

const stepTimeOfDay = fc
  .tuple(kind, index, step)
  .map(([what, at, ms]) =>
    createCommand(`stepTimeOfDay(${what},${at},${ms})`, (simulation) =>
      simulation.stepTimeOfDay(what, at, ms),
    ),
  );

const changeCapacity = fc
  .tuple(index, fc.integer({ min: 0, max: 6 }), fc.boolean())
  .map(([at, tasks, reports]) =>
    createCommand(`changeRoom(${at},${tasks},${reports})`, (simulation) =>
      simulation.changeCapacity(at, tasks, reports),
    ),
  );

/** Commands of all runs. The list must not change, so that a seed reproduces its run. */
export const EARLIER_COMMANDS = [
  submit,
  submit,
  submit,
  advance,
  advance,
  resubmit,
  freeze,
  kill,
  cut,
  reset,
  crash,
  disturb,
  blockUpstream,
  hang,
];

/** Commands of one run. */
export const dispatchCommands = fc.commands(EARLIER_COMMANDS, { maxCommands: MAX_COMMANDS, size: 'max' });

/** Adds unresponsive connections and delayed messages of earlier incarnations. */
export const lateReportCommands = fc.commands(
  [...EARLIER_COMMANDS, blockConnection, blockConnection, replace, lateReport, lateReport, lateHello],
  { maxCommands: MAX_COMMANDS, size: 'max' },
);

/** Adds failure domains that are emptied and restored. */
export const domainCommands = fc.commands(
  [...EARLIER_COMMANDS, blockConnection, lateHello, changeDomain, changeDomain, changeDomain],
  { maxCommands: MAX_COMMANDS, size: 'max' },
);

/** Adds upstreams that restart under the same id. */
export const restartCommands = fc.commands(
  [...EARLIER_COMMANDS, replace, lateReport, restartUpstream, restartUpstream, restartUpstream],
  { maxCommands: MAX_COMMANDS, size: 'max' },
);

/** Adds suspended VMs and steps of the time of day. */
export const suspensionCommands = fc.commands(
  [...EARLIER_COMMANDS, suspend, suspend, suspend, suspend, stepTimeOfDay],
  { maxCommands: MAX_COMMANDS, size: 'max' },
);

/** Adds upstreams whose capacity changes. */
export const capacityCommands = fc.commands(
  [...EARLIER_COMMANDS, replace, lateReport, changeCapacity, changeCapacity, changeCapacity, changeCapacity],
  { maxCommands: MAX_COMMANDS, size: 'max' },
);
