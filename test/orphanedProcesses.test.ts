/** Runs of jobs whose dispatcher or caller is gone, at real processes, while runners lose calls. */
import { setTimeout as sleep } from 'node:timers/promises';

import { expect } from 'chai';

import { createLoss } from '../standins/protocol/CallFaults.js';
import type { CallFault } from '../standins/protocol/CallFaults.js';
import { PlatformBench } from './fakes/PlatformBench.js';

/** Delay after which a caller submits its job again elsewhere, ms. */
const RESUBMIT_DELAY_MS = 1_300;
/** The same, so long that an executor has restarted well before the leases of its runs are over. */
const LONG_DELAY_MS = 5_200;
/** Longest lease that a runner grants, ms; half the delay if that is longer. */
const MIN_MAX_LEASE_MS = 1_000;
/** Longer than a test takes. */
const ENDLESS_MS = 2_000_000;
const TASK_MS = 100_000;
const TASKS = 2;
const EXECUTORS = 3;
/** Delay of renewals without an answer after the dispatcher is gone, ms: its work is about to be stopped. */
const BEFORE_STOPS_MS = 400;

/** Duration of a pause that is too short for the work of a dispatcher to be stopped, ms. */
const SHORT_PAUSE_MS = 340;

const LOST_STOPS = createLoss(['stop']);
const UNANSWERED_HOLDS: CallFault = {
  ...createLoss(['hold']),
  outcome: 'unanswered',
  staysOpen: true,
};

describe('runs of a job whose dispatcher or caller is gone while runners lose calls', function () {
  this.timeout(120_000);

  let bench: PlatformBench;

  async function startBench(resubmitMs = RESUBMIT_DELAY_MS, isProxied = false): Promise<void> {
    bench = new PlatformBench(2, EXECUTORS, ENDLESS_MS, isProxied);
    bench.extraSettings = { resubmitMs, maxLeaseMs: Math.max(resubmitMs / 2, MIN_MAX_LEASE_MS) };
    await bench.start();
  }

  afterEach(async () => {
    for (const runner of bench.runners) runner.callFaults.clear();
    await bench.stop();
  });

  function submit(dispatcher: string, leave?: AbortSignal): void {
    void bench.submit(dispatcher, 'job', TASKS, TASK_MS, ENDLESS_MS, leave);
  }

  async function startJob(leave?: AbortSignal): Promise<void> {
    submit('entry-1', leave);
    await bench.waitFor(() => bench.starts.size === TASKS, 'the start of both tasks');
  }

  function applyFault(fault: CallFault): void {
    for (const runner of bench.runners) runner.callFaults.add(fault);
  }

  async function restartExecutors(downMs: number): Promise<void> {
    const ids = Array.from({ length: EXECUTORS }, (_, at) => `agent-${at + 1}`);
    for (const id of ids) bench.signal(id, 'SIGKILL');
    for (const id of ids) await bench.waitForExit(id);
    await sleep(downMs);
    for (const id of ids) await bench.startDaemon(id);
  }

  function listRunning(): string[] {
    for (const runner of bench.runners) runner.updateRuns();
    return [...bench.atWork].filter(([, running]) => running > 0).map(([task]) => task);
  }

  /** Submits the job again elsewhere, after the delay from a given time on, when nothing of it may run. */
  async function submitAgain(leftAt: number, resubmitMs = RESUBMIT_DELAY_MS): Promise<void> {
    await sleep(leftAt + resubmitMs - performance.now());
    const running = listRunning();
    submit('entry-2');
    expect(running, 'tasks that run when the caller returns').to.deep.equal([]);
  }

  async function checkSecondRun(): Promise<void> {
    const hasRunAgain = (): boolean => [...bench.starts.values()].every((count) => count > 1);
    await bench.waitFor(hasRunAgain, 'the second start of both tasks').catch((error: unknown) => {
      expect(bench.doubled, 'tasks that ran twice at the same time').to.deep.equal([]);
      throw error;
    });
    expect(bench.doubled, 'tasks that ran twice at the same time').to.deep.equal([]);
  }

  for (const signal of ['SIGKILL', 'SIGSTOP'] as const) {
    // Guards against a run that goes on beside a second start, as its lease is extended while its stops are lost.
    it(`end before the job runs again if all stops are lost and the dispatcher gets ${signal}`, async () => {
      await startBench();
      await startJob();
      applyFault(LOST_STOPS);
      bench.signal('entry-1', signal);
      await submitAgain(performance.now());
      await checkSecondRun();
    });
  }

  for (const resubmitMs of [RESUBMIT_DELAY_MS, LONG_DELAY_MS]) {
    for (const downMs of [0, 500]) {
      const title = `executors restart after ${downMs} ms and the caller returns after ${resubmitMs} ms`;
      // Guards against an executor that extends the lease of runs which its earlier incarnation has started.
      it(`end before the job runs again if all stops are lost, ${title}`, async () => {
        await startBench(resubmitMs);
        await startJob();
        applyFault(LOST_STOPS);
        bench.signal('entry-1', 'SIGKILL');
        const leftAt = performance.now();
        await Promise.all([restartExecutors(downMs), submitAgain(leftAt, resubmitMs)]);
        await checkSecondRun();
      });
    }
  }

  // Guards against a run that goes on beside a second start, as its lease is extended while its stops are lost.
  it('end before the job runs again if all stops are lost and the caller closes its connection', async () => {
    const leave = new AbortController();
    await startBench();
    await startJob(leave.signal);
    applyFault(LOST_STOPS);
    leave.abort();
    await submitAgain(performance.now());
    await checkSecondRun();
  });

  // Guards against pings that a dispatcher acknowledges after a pause, before it reads that a caller has left.
  it('end before the job runs again if the caller closes its connection during a short pause', async () => {
    const leave = new AbortController();
    await startBench();
    await startJob(leave.signal);
    applyFault(LOST_STOPS);
    bench.signal('entry-1', 'SIGSTOP');
    leave.abort();
    const leftAt = performance.now();
    await sleep(SHORT_PAUSE_MS);
    bench.signal('entry-1', 'SIGCONT');
    await submitAgain(leftAt);
    await checkSecondRun();
  });

  // Guards against a new link that extends the runs of a caller whose departure the old link did not report.
  it('end before the job runs again if the caller closes its connection while links are silent', async () => {
    const leave = new AbortController();
    await startBench(RESUBMIT_DELAY_MS, true);
    await startJob(leave.signal);
    applyFault(LOST_STOPS);
    bench.proxies.get('entry-1')?.silenceConnections();
    leave.abort();
    await submitAgain(performance.now());
    await checkSecondRun();
  });

  // Guards against stops that are held back while renewals extend the lease without an answer.
  it('end before the job runs again if renewals are carried out without an answer', async () => {
    await startBench();
    await startJob();
    applyFault({ ...LOST_STOPS, staysOpen: true });
    bench.signal('entry-1', 'SIGKILL');
    const leftAt = performance.now();
    await sleep(BEFORE_STOPS_MS);
    applyFault(UNANSWERED_HOLDS);
    await submitAgain(leftAt);
    for (const runner of bench.runners) runner.callFaults.remove(UNANSWERED_HOLDS);
    await checkSecondRun();
  });
});
