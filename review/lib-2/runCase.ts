/** Runs a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
import process from 'node:process';
import { setTimeout } from 'node:timers';

import type { Deployment } from './Deployment.js';
import { Recorder } from './Recorder.js';

/** Longest duration of a case, ms. */
const MAX_CASE_MS = 110_000;
/** Exit status of a case that couldn't run. */
const COULD_NOT_RUN = 2;

/** What a case is given. */
export interface CaseContext {
  readonly recorder: Recorder;
  /** Whether the disruption takes place. */
  readonly hasTrouble: boolean;
}

/** A case: its deployment, and a run that returns the number of times that the rule was broken. */
export interface Case {
  readonly deployment: Deployment;
  readonly run: () => Promise<number>;
}

/**
 * Runs a case. The process gets the path of the record as its argument.
 *
 * @param create - creates the case
 */
export async function runCase(create: (context: CaseContext) => Case): Promise<void> {
  const recorder = new Recorder(process.argv[2] ?? 'record.txt');
  const hasTrouble = process.env['TROUBLE'] !== '0';
  const { deployment, run } = create({ recorder, hasTrouble });
  const end = async (status: number): Promise<void> => {
    const hasStopped = await deployment.stop().then(
      () => true,
      () => false,
    );
    process.exit(hasStopped ? status : COULD_NOT_RUN);
  };
  const abort = (error: unknown): void => {
    recorder.write('could-not-run', { error: String(error) });
    void end(COULD_NOT_RUN);
  };
  process.once('SIGTERM', abort).once('SIGINT', abort).once('SIGHUP', abort);
  process.once('uncaughtException', abort).once('unhandledRejection', abort);
  setTimeout(() => abort('the case takes too long'), MAX_CASE_MS).unref();
  try {
    await deployment.start();
    const breaks = await run();
    if (deployment.starts === 0) throw new Error('no task was started');
    recorder.write('result', { hasTrouble, breaks, starts: deployment.starts });
    await end(breaks > 0 ? 1 : 0);
  } catch (error) {
    abort(error);
  }
}
