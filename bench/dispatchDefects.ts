/** Defects planted in the dispatcher and the executor. */
import type { Defect } from './defect.js';

/** Defects detected by the `dispatch` runs. */
export const DISPATCH_DEFECTS: readonly Defect[] = [
  {
    name: 'tasks of an unresponsive executor are restarted elsewhere at once',
    file: 'src/process/dispatcher/Dispatcher.js',
    find: 'if (now <= executor.lastReceivedAt + executor.orphanMs)',
    replace: 'if (now <= executor.lastReceivedAt + 150)',
  },
  {
    name: 'an executor does not stop the tasks of an unresponsive dispatcher',
    file: 'src/process/executor/Executor.js',
    find: 'if (ageMs <= this.bounds.orphanAfterMs)',
    replace: 'if (true)',
  },
  {
    name: 'a delayed start does not expire',
    file: 'src/process/dispatcher/Dispatcher.js',
    find: 'executor.estimateClock(now) + this.options.pingMs * START_EXPIRY_PING_INTERVALS',
    replace: 'executor.estimateClock(now) + 60_000',
  },
  {
    name: 'a new link loses the tasks that the executor still holds',
    file: 'src/process/dispatcher/Dispatcher.js',
    find: 'if (!holding.has(buildAttemptKey(buildAttemptName(task))))',
    replace: 'if (true)',
  },
  {
    name: 'a new incarnation of an executor is used before it has stopped earlier tasks',
    file: 'src/process/dispatcher/Dispatcher.js',
    find: "if (executor.report?.state !== 'ready')\n            return;\n        for (const earlier",
    replace: 'for (const earlier',
  },
  {
    name: 'an executor accepts tasks while those of its earlier incarnation run',
    file: 'src/process/executor/UpstreamSession.js',
    find: 'if (unknown === 0 && this.events.settle(sentAt) && !this.joined)',
    replace: 'if (this.events.settle(sentAt) && !this.joined)',
  },
  {
    name: 'an unanswered start is treated as not run',
    file: 'src/process/executor/UpstreamSession.js',
    find: 'withdraw: (task, reason) => this.stopTask(task, reason),',
    replace: "withdraw: (task, reason) => this.finish(task, 'not-run', reason),",
  },
  {
    name: 'an unreachable upstream is treated as gone before its lease expires',
    file: 'src/process/executor/UpstreamSession.js',
    find: 'if (now <= this.calls.aliveUntil + this.bounds.stopMs || !this.reachable)',
    replace: 'if (now <= this.calls.renewedAt + 100 || !this.reachable)',
  },
  {
    name: 'tasks of a job abandoned by its caller are not stopped',
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
    name: 'a start is retried under a new run number',
    file: 'src/process/executor/RunOrders.js',
    find: 'const verdict = await this.calls.start(',
    replace: 'if (sends > 0) task.run += 1; const verdict = await this.calls.start(',
  },
];

/** Defects in the succession of incarnations of an upstream, detected by the `restarts` runs. */
export const LIFE_DEFECTS: readonly Defect[] = [
  {
    name: 'an incarnation of an upstream is identified by its id only',
    file: 'src/process/executor/buildIncarnationName.js',
    find: 'return bornAt === undefined ? id : `${id}@${bornAt}`;',
    replace: 'return id;',
  },
  {
    name: 'tasks of an earlier incarnation are ended before the next one is fenced',
    file: 'src/process/executor/UpstreamIncarnations.js',
    find: 'earlier.supersede();',
    replace: "earlier.close('superseded');",
  },
  {
    name: 'a new incarnation accepts tasks while those of an earlier one run',
    file: 'src/process/executor/UpstreamIncarnations.js',
    find: 'return others.every(({ isClosed }) => isClosed);',
    replace: 'return true;',
  },
  {
    name: 'a lease granted by a call of another session is ignored',
    file: 'src/process/executor/UpstreamLease.js',
    find: 'const lapse = this.effectiveMs * (1 + CLOCK_DRIFT);',
    replace: 'const lapse = 0;',
  },
  {
    name: 'a start that reaches the next incarnation is treated as ended after our lease',
    file: 'src/process/executor/UpstreamCalls.js',
    find: 'report.bornAt === undefined ? bounds.leaseMs : bounds.maxLeaseMs',
    replace: 'bounds.leaseMs',
  },
];
