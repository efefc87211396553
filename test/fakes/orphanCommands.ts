/** Commands of the randomised simulation in which runs have to end although stops are lost or late. */
import * as fc from 'fast-check';

import { createCommand, EARLIER_COMMANDS, MAX_COMMANDS } from './dispatchCommands.js';
import type { OrphanSimulation } from './OrphanSimulation.js';

/** Most orders or stops that are lost in a row. */
const MAX_LOST = 60;

const index = fc.nat(5);
const place = fc.oneof(index, fc.constant('all' as const));

function create(name: string, run: (simulation: OrphanSimulation) => void | Promise<void>) {
  return createCommand<OrphanSimulation>(name, run);
}

const submitLong = fc
  .tuple(
    index,
    fc.integer({ min: 1, max: 4 }),
    fc.constantFrom(1_500, 3_000, 6_000),
    fc.constantFrom(2_000, 10_000, 10_000),
  )
  .map(([at, tasks, taskMs, patienceMs]) =>
    create(`submit(${at},${tasks},${taskMs},${patienceMs})`, (simulation) =>
      simulation.submit(at, tasks, taskMs, patienceMs),
    ),
  );

const leave = fc
  .tuple(fc.nat(40), index)
  .map(([job, at]) => create(`leave(${job},${at})`, (simulation) => simulation.leaveAndReturn(job, at)));

const killDispatcher = index.map((at) =>
  create(`kill(entry,${at})`, (simulation) => simulation.kill('entry', at)),
);

const killExecutor = fc
  .tuple(index, fc.constantFrom(0, 100, 500, 1_000, 1_500))
  .map(([at, downMs]) =>
    create(`killExecutor(${at},${downMs})`, (simulation) => simulation.killExecutor(at, downMs)),
  );

const freezeRepeatedly = fc
  .tuple(
    index,
    fc.constantFrom(400, 480, 505, 515, 520, 525, 540, 700),
    fc.integer({ min: 1, max: 4 }),
    fc.constantFrom(5, 10, 40, 180),
  )
  .map(([at, ms, times, awakeMs]) =>
    create(`freezeRepeatedly(${at},${ms},${times},${awakeMs})`, (simulation) =>
      simulation.freezeRepeatedly(at, ms, times, awakeMs),
    ),
  );

const disturbMany = fc
  .tuple(
    index,
    fc.constantFrom('lost' as const, 'unanswered' as const),
    fc.integer({ min: 1, max: MAX_LOST }),
  )
  .map(([at, how, count]) =>
    create(`disturb(${at},${how},${count})`, (simulation) => simulation.setFates(at, how, count)),
  );

const loseStops = fc
  .tuple(place, fc.integer({ min: 1, max: MAX_LOST }))
  .map(([at, count]) => create(`loseStops(${at},${count})`, (simulation) => simulation.loseStops(at, count)));

const loseAllStops = fc
  .tuple(place, fc.constantFrom(300, 1_000, 2_000, 4_000))
  .map(([at, ms]) => create(`loseAllStops(${at},${ms})`, (simulation) => simulation.disturbStops(at, ms)));

const delayStops = fc
  .tuple(place, fc.constantFrom(300, 1_000, 2_000, 4_000), fc.integer({ min: 2_000, max: 12_000 }))
  .map(([at, ms, lateMs]) =>
    create(`delayStops(${at},${ms},${lateMs})`, (simulation) => simulation.disturbStops(at, ms, lateMs)),
  );

const muteRenewals = fc
  .tuple(index, fc.constantFrom(200, 600, 1_200, 3_000))
  .map(([at, ms]) => create(`muteRenewals(${at},${ms})`, (simulation) => simulation.muteRenewals(at, ms)));

const muteLink = fc
  .tuple(index, index, fc.constantFrom(60, 200, 350, 500, 1_500))
  .map(([dispatcher, executor, ms]) =>
    create(`muteLink(${dispatcher},${executor},${ms})`, (simulation) =>
      simulation.muteLink(dispatcher, executor, ms),
    ),
  );

/** Commands of one run. The list must not change, so that a seed reproduces its run. */
export const orphanCommands = fc.commands(
  [
    ...EARLIER_COMMANDS,
    submitLong,
    submitLong,
    submitLong,
    leave,
    leave,
    killDispatcher,
    killExecutor,
    killExecutor,
    freezeRepeatedly,
    disturbMany,
    loseStops,
    loseAllStops,
    loseAllStops,
    delayStops,
    muteRenewals,
    muteLink,
  ],
  { maxCommands: MAX_COMMANDS, size: 'max' },
);
