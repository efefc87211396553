/** Defects that are planted in dispatcher and executor. */
import type { Defect } from './defect.js';

/** The defects. */
export const DISPATCH_DEFECTS: readonly Defect[] = [
  {
    name: 'tasks of a silent agent are started elsewhere at once',
    file: 'src/process/dispatcher/Dispatcher.js',
    find: 'if (now <= executor.lastReceivedAt + executor.orphanMs)',
    replace: 'if (now <= executor.lastReceivedAt + 150)',
  },
  {
    name: 'an agent lets the tasks of a silent entry run on',
    file: 'src/process/executor/Executor.js',
    find: 'if (ageMs <= this.bounds.orphanAfterMs)',
    replace: 'if (true)',
  },
  {
    name: 'a start that was long on its way does not expire',
    file: 'src/process/dispatcher/Dispatcher.js',
    find: 'executor.estimateClock(now) + this.options.pingMs * START_EXPIRY_PING_INTERVALS',
    replace: 'executor.estimateClock(now) + 60_000',
  },
  {
    name: 'a new link loses what the agent still holds',
    file: 'src/process/dispatcher/Dispatcher.js',
    find: 'if (!holding.has(buildAttemptKey(buildAttemptName(task))))',
    replace: 'if (true)',
  },
  {
    name: 'a new life of an agent counts before it has stopped what ran',
    file: 'src/process/dispatcher/Dispatcher.js',
    find: "if (executor.report?.state !== 'ready')\n            return;\n        for (const earlier",
    replace: 'for (const earlier',
  },
  {
    name: 'an agent takes work beside what an earlier life had started',
    file: 'src/process/executor/UpstreamSession.js',
    find: 'if (unknown === 0 && this.events.settle(sentAt) && !this.joined)',
    replace: 'if (this.events.settle(sentAt) && !this.joined)',
  },
  {
    name: 'an unanswered start counts as not run',
    file: 'src/process/executor/UpstreamSession.js',
    find: 'withdraw: (task, reason) => this.stopTask(task, reason),',
    replace: "withdraw: (task, reason) => this.finish(task, 'not-run', reason),",
  },
  {
    name: 'an upstream out of reach counts as gone before its lease is over',
    file: 'src/process/executor/UpstreamSession.js',
    find: 'if (now <= this.calls.aliveUntil + this.bounds.stopMs || !this.reachable)',
    replace: 'if (now <= this.calls.renewedAt + 100 || !this.reachable)',
  },
  {
    name: 'what a caller has left is not stopped',
    file: 'src/process/dispatcher/Dispatcher.js',
    find: "this.effects.send(task.executorId, { type: 'stop'",
    replace: "void (task.executorId, { type: 'stop'",
  },
  {
    name: 'a job that has run is refused',
    file: 'src/process/dispatcher/Dispatcher.js',
    find: 'const mayHaveRun = job.begun || job.outstanding > 0;',
    replace: 'const mayHaveRun = job.outstanding > 0; job.begun = false;',
  },
  {
    name: 'a start is repeated under a new run',
    file: 'src/process/executor/RunOrders.js',
    find: 'const verdict = await this.calls.start(',
    replace: 'if (sends > 0) task.run += 1; const verdict = await this.calls.start(',
  },
];

/** Defects that are planted in how lives of an upstream follow each other; found by runs in which they keep their id. */
export const LIFE_DEFECTS: readonly Defect[] = [
  {
    name: 'a life of an upstream is known by its id only',
    file: 'src/process/executor/buildIncarnationName.js',
    find: 'return bornAt === undefined ? id : `${id}@${bornAt}`;',
    replace: 'return id;',
  },
  {
    name: 'what an earlier life ran counts as over before the next life is fenced',
    file: 'src/process/executor/UpstreamIncarnations.js',
    find: 'earlier.supersede();',
    replace: "earlier.close('superseded');",
  },
  {
    name: 'a next life takes work beside what has reached it',
    file: 'src/process/executor/UpstreamIncarnations.js',
    find: 'return others.every(({ isClosed }) => isClosed);',
    replace: 'return true;',
  },
  {
    name: 'a lease that a call of another session has given is not reckoned with',
    file: 'src/process/executor/UpstreamLease.js',
    find: 'const lapse = this.effectiveMs * (1 + CLOCK_DRIFT);',
    replace: 'const lapse = 0;',
  },
  {
    name: 'a start that reaches the next life counts as over after our lease',
    file: 'src/process/executor/UpstreamCalls.js',
    find: 'report.bornAt === undefined ? bounds.leaseMs : bounds.maxLeaseMs',
    replace: 'bounds.leaseMs',
  },
];
