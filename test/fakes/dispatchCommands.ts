/** Commands of the randomised runs of dispatchers and agents. */
import * as fc from 'fast-check';

import type { DispatchWorld } from './DispatchWorld.js';

type WorldCommand = fc.AsyncCommand<object, DispatchWorld>;

/** Most commands of one run. */
const MAX_COMMANDS = 40;

function createCommand(name: string, run: (world: DispatchWorld) => void | Promise<void>): WorldCommand {
  return { check: () => true, run: async (_, world) => run(world), toString: () => name };
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
    createCommand(`submit(${at},${tasks},${taskMs},${patienceMs})`, (world) =>
      world.submit(at, tasks, taskMs, patienceMs),
    ),
  );

const advance = fc
  .constantFrom(5, 20, 60, 200, 700)
  .map((ms) => createCommand(`advance(${ms})`, (world) => world.advance(ms)));

const resubmit = fc
  .tuple(fc.nat(40), index)
  .map(([job, at]) => createCommand(`resubmit(${job},${at})`, (world) => world.resubmit(job, at)));

const freeze = fc
  .tuple(kind, index, fc.constantFrom(100, 300, 600, 900, 2_500))
  .map(([what, at, ms]) =>
    createCommand(`freeze(${what},${at},${ms})`, (world) => world.freeze(what, at, ms)),
  );

const kill = fc
  .tuple(kind, index)
  .map(([what, at]) => createCommand(`kill(${what},${at})`, (world) => world.kill(what, at)));

const cut = fc
  .tuple(index, index, fc.constantFrom(100, 450, 700, 1_500, 4_000))
  .map(([entry, agent, ms]) =>
    createCommand(`cut(${entry},${agent},${ms})`, (world) => world.cut(entry, agent, ms)),
  );

const reset = fc
  .tuple(index, index)
  .map(([entry, agent]) => createCommand(`reset(${entry},${agent})`, (world) => world.reset(entry, agent)));

const crash = index.map((at) => createCommand(`crash(${at})`, (world) => world.crash(at)));

const disturb = fc
  .tuple(index, fate, fc.integer({ min: 1, max: 6 }))
  .map(([at, how, count]) =>
    createCommand(`disturb(${at},${how},${count})`, (world) => world.disturb(at, how, count)),
  );

const silence = fc
  .tuple(index, fc.constantFrom(100, 500, 1_200, 2_500))
  .map(([at, ms]) => createCommand(`silence(${at},${ms})`, (world) => world.silence(at, ms)));

const hang = fc
  .tuple(index, fc.boolean())
  .map(([at, hangs]) => createCommand(`hang(${at},${hangs})`, (world) => world.hang(at, hangs)));

const mute = fc
  .tuple(index, index, fc.constantFrom(100, 300, 600, 1_500))
  .map(([entry, agent, ms]) =>
    createCommand(`mute(${entry},${agent},${ms})`, (world) => world.mute(entry, agent, ms)),
  );

const replace = index.map((at) => createCommand(`replace(${at})`, (world) => world.replace(at)));

const lateReport = index.map((at) =>
  createCommand(`lateReport(${at})`, (world) => world.deliverLateReport(at)),
);

const lateHello = fc
  .tuple(index, index)
  .map(([entry, agent]) =>
    createCommand(`lateHello(${entry},${agent})`, (world) => world.deliverLateHello(entry, agent)),
  );

const changeDomain = fc
  .tuple(index, fc.boolean(), index)
  .map(([domain, isEmptied, entry]) =>
    createCommand(`changeDomain(${domain},${isEmptied},${entry})`, (world) =>
      world.changeDomain(domain, isEmptied, entry),
    ),
  );

const restartUpstream = fc
  .tuple(index, fc.constantFrom(0, 60, 300, 1_500), fc.boolean())
  .map(([at, ms, reports]) =>
    createCommand(`restartUpstream(${at},${ms},${reports})`, (world) =>
      world.restartUpstream(at, ms, reports),
    ),
  );

const step = fc.constantFrom(0, 0, 2_000, -2_000, -600, 3_600_000, -3_600_000);

const suspend = fc
  .tuple(kind, index, fc.constantFrom(100, 300, 600, 900, 2_500, 5_000), fc.boolean(), step)
  .map(([what, at, ms, withUpstream, stepMs]) =>
    createCommand(`suspend(${what},${at},${ms},${withUpstream},${stepMs})`, (world) =>
      world.suspend(what, at, ms, withUpstream, stepMs),
    ),
  );

const stepTimeOfDay = fc
  .tuple(kind, index, step)
  .map(([what, at, ms]) =>
    createCommand(`stepTimeOfDay(${what},${at},${ms})`, (world) => world.stepTimeOfDay(what, at, ms)),
  );

const changeRoom = fc
  .tuple(index, fc.integer({ min: 0, max: 6 }), fc.boolean())
  .map(([at, tasks, reports]) =>
    createCommand(`changeRoom(${at},${tasks},${reports})`, (world) => world.changeRoom(at, tasks, reports)),
  );

const EARLIER_COMMANDS = [
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
  silence,
  hang,
];

/** Draws the commands of one run; a seed goes on to mean the same run. */
export const dispatchCommands = fc.commands(EARLIER_COMMANDS, { maxCommands: MAX_COMMANDS, size: 'max' });

/** The same, and connections that go silent for good, and words of earlier lives that come late. */
export const lateReportCommands = fc.commands(
  [...EARLIER_COMMANDS, mute, mute, replace, lateReport, lateReport, lateHello],
  { maxCommands: MAX_COMMANDS, size: 'max' },
);

/** The same, and failure domains that are emptied and taken back. */
export const domainCommands = fc.commands(
  [...EARLIER_COMMANDS, mute, lateHello, changeDomain, changeDomain, changeDomain],
  { maxCommands: MAX_COMMANDS, size: 'max' },
);

/** The same as the first, and upstreams that start again under their id. */
export const restartCommands = fc.commands(
  [...EARLIER_COMMANDS, replace, lateReport, restartUpstream, restartUpstream, restartUpstream],
  { maxCommands: MAX_COMMANDS, size: 'max' },
);

/** The same as the first, and VMs that are suspended, or whose time of day is set. */
export const suspensionCommands = fc.commands(
  [...EARLIER_COMMANDS, suspend, suspend, suspend, suspend, stepTimeOfDay],
  { maxCommands: MAX_COMMANDS, size: 'max' },
);

/** The same as the first, and upstreams whose room shrinks and grows. */
export const capacityCommands = fc.commands(
  [...EARLIER_COMMANDS, replace, lateReport, changeRoom, changeRoom, changeRoom, changeRoom],
  { maxCommands: MAX_COMMANDS, size: 'max' },
);
