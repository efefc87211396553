/** Runs a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';

import type { Deployment } from './Deployment.js';
import { Recorder } from './Recorder.js';

/** Longest duration of a case, ms. */
const MAX_CASE_MS = 110_000;

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
  let status = 2;
  const end = (): void => void deployment.stop().then(() => process.exit(2));
  process.once('SIGTERM', end).once('SIGINT', end);
  try {
    const work = deployment.start().then(run);
    const timeout = sleep(MAX_CASE_MS, undefined, { ref: false }).then(() => {
      throw new Error('the case takes too long');
    });
    const breaks = await Promise.race([work, timeout]);
    recorder.write('result', { hasTrouble, breaks });
    status = breaks > 0 ? 1 : 0;
  } catch (error) {
    recorder.write('could-not-run', { error: String(error) });
  }
  await deployment.stop();
  process.exit(status);
}
