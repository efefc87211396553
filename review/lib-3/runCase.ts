/** Runs a case: starts the deployment, plays it, writes the record, ends all processes and sets the exit status. */
import path from 'node:path';
import process from 'node:process';
import { setTimeout } from 'node:timers';

import { CaseRecord } from './CaseRecord.js';
import { Deployment } from './Deployment.js';
import type { RunnerKind } from './Runner.js';

const STATUS_HELD = 0;
const STATUS_BROKEN = 1;
const STATUS_NOT_RUN = 2;
const LONGEST_MS = 112_000;

/** A case. */
export interface Case {
  readonly number: number;
  readonly dispatchers: number;
  readonly executors: number;
  /** Dispatcher that can be cut off. */
  readonly cuttable?: string;
  readonly findKind: (number: number) => RunnerKind;
  /** Plays the case, with its disruption or without; returns what broke the rule, empty if it held. */
  readonly play: (deployment: Deployment, hasTrouble: boolean) => Promise<readonly string[]>;
}

/** Runs a case and exits with its status. */
export async function runCase(one: Case): Promise<void> {
  const record = new CaseRecord();
  const file = path.join('review', String(one.number), 'record.txt');
  const deployment = new Deployment(one.dispatchers, one.executors, record, one.cuttable);
  const hasTrouble = process.env['TROUBLE'] !== '0';
  const finish = async (status: number, text: string): Promise<never> => {
    record.note('result', { status, text });
    record.write(file);
    console.log(text);
    await deployment.end().catch(() => undefined);
    process.exit(status);
  };
  setTimeout(() => void finish(STATUS_NOT_RUN, 'the case took too long'), LONGEST_MS);
  for (const name of ['SIGINT', 'SIGTERM'] as const)
    process.on(name, () => void finish(STATUS_NOT_RUN, `ended by ${name}`));
  try {
    await deployment.start(one.findKind);
    const broken = await one.play(deployment, hasTrouble);
    for (const text of broken) record.note('broken', { text });
    await finish(
      broken.length > 0 ? STATUS_BROKEN : STATUS_HELD,
      broken.length > 0 ? `broken ${broken.length} times, first: ${broken[0]}` : 'held',
    );
  } catch (error) {
    await finish(STATUS_NOT_RUN, `could not run: ${String(error)}`);
  }
}
