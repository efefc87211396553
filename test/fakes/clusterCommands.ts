/** Commands of the randomised simulation of entries and agents. */
import * as fc from 'fast-check';

import type { ClusterSimulation } from './ClusterSimulation.js';

/** Model that fast-check requires; counts the commands of a run. */
export interface RunModel {
  commands: number;
}

type ClusterCommand = fc.Command<RunModel, ClusterSimulation>;

/** Number of entries, agents and failure domains of the runs. */
export const RUN_ENTRIES = 3;
export const RUN_AGENTS = 6;
const DOMAINS = 3;
const JOBS = 40;

function createCommand(name: string, run: (simulation: ClusterSimulation) => void): ClusterCommand {
  return {
    check: () => true,
    run: (model, simulation) => {
      model.commands += 1;
      run(simulation);
    },
    toString: () => name,
  };
}

const job = fc.nat(JOBS - 1);
const entry = fc.nat(RUN_ENTRIES - 1);
const agent = fc.nat(RUN_AGENTS - 1);

const processId = fc.oneof(
  entry.map((number) => `entry-${number}`),
  agent.map((number) => `agent-${number}`),
);

const submit = fc
  .tuple(job, entry)
  .map(([number, at]) =>
    createCommand(`submit(${number},${at})`, (simulation) => simulation.submit(number, at)),
  );

const burst = fc.tuple(job, entry).map(([number, at]) =>
  createCommand(`burst(${number},${at})`, (simulation) => {
    for (let i = 0; i < 8; i += 1) simulation.submit((number + i) % JOBS, (at + i) % RUN_ENTRIES);
  }),
);

const change = fc
  .tuple(job, entry)
  .map(([number, at]) =>
    createCommand(`change(${number},${at})`, (simulation) => simulation.submit(number, at, true)),
  );

const advance = fc
  .integer({ min: 1, max: 4_000 })
  .map((ms) => createCommand(`advance(${ms})`, (simulation) => simulation.advance(ms)));

const shortly = fc
  .integer({ min: 1, max: 60 })
  .map((ms) => createCommand(`advance(${ms})`, (simulation) => simulation.advance(ms)));

const kill = processId.map((id) => createCommand(`kill(${id})`, (simulation) => simulation.kill(id)));

const restart = processId.map((id) =>
  createCommand(`restart(${id})`, (simulation) => simulation.restart(id)),
);

const replace = processId.map((id) =>
  createCommand(`replace(${id})`, (simulation) => {
    simulation.kill(id);
    simulation.restart(id);
  }),
);

const pause = fc
  .tuple(processId, fc.integer({ min: 100, max: 15_000 }))
  .map(([id, ms]) => createCommand(`pause(${id},${ms})`, (simulation) => simulation.pause(id, ms)));

/**
 * Pauses an entry that has open jobs; its callers submit them to another entry before it resumes.
 *
 * @param simulation - the simulation
 * @param number - number of the first job
 * @param at - number of the entry
 * @param soon - time from the submission to the pause, ms
 * @param ms - duration of the pause, ms
 */
export function runOvertaking(
  simulation: ClusterSimulation,
  number: number,
  at: number,
  soon: number,
  ms: number,
): void {
  for (let i = 0; i < 16; i += 1) simulation.submit((number + i) % JOBS, at);
  simulation.advance(soon);
  simulation.pause(`entry-${at}`, ms);
  for (let i = 0; i < 16; i += 1) simulation.submit((number + i) % JOBS, (at + 1) % RUN_ENTRIES);
  simulation.advance(ms + 100);
}

const overtake = fc
  .tuple(job, entry, fc.integer({ min: 5, max: 300 }), fc.integer({ min: 4_000, max: 12_000 }))
  .map(([number, at, soon, ms]) =>
    createCommand(`overtake(${number},${at},${soon},${ms})`, (simulation) =>
      runOvertaking(simulation, number, at, soon, ms),
    ),
  );

const breakUpstream = fc
  .tuple(agent, fc.integer({ min: 5, max: 500 }))
  .map(([number, ms]) =>
    createCommand(`breakUpstream(${number},${ms})`, (simulation) =>
      simulation.breakUpstream(`agent-${number}`, ms),
    ),
  );

const leave = agent.map((number) =>
  createCommand(`leave(agent-${number})`, (simulation) => simulation.leave(`agent-${number}`)),
);

const cut = fc
  .nat(DOMAINS - 1)
  .map((domain) => createCommand(`cut(${domain})`, (simulation) => simulation.cutDomain(domain)));

const heal = fc.constant(createCommand('heal', (simulation) => simulation.heal()));

const stopLog = fc.boolean().map((down) =>
  createCommand(`log(${down ? 'down' : 'up'})`, (simulation) => {
    simulation.log.down = down;
  }),
);

const expireLog = fc.constant(createCommand('expireLog', (simulation) => simulation.log.expire(20)));

/** Sequences of commands; submissions and short waits are the most frequent. */
export const clusterCommands = fc.commands(
  [
    submit,
    submit,
    burst,
    burst,
    burst,
    shortly,
    shortly,
    advance,
    change,
    kill,
    restart,
    replace,
    pause,
    overtake,
    breakUpstream,
    leave,
    cut,
    heal,
    stopLog,
    expireLog,
  ],
  { maxCommands: 60, size: 'max' },
);
