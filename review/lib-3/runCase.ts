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
  readonly findKind: (number: number) => RunnerKind;
  /** Plays the case, with its disruption or without; returns what broke the rule, empty if it held. */
  readonly play: (deployment: Deployment, hasTrouble: boolean) => Promise<readonly string[]>;
}

/** Runs a case and exits with its status. */
export async function runCase(one: Case): Promise<void> {
  const record = new CaseRecord();
  const file = path.join('review', String(one.number), 'record.txt');
  const deployment = new Deployment(one.dispatchers, one.executors, record);
  const hasTrouble = process.env['TROUBLE'] !== '0';
  const finish = async (status: number, text: string): Promise<never> => {
    record.note('result', { status, text });
    await deployment.end().catch(() => undefined);
    record.write(file);
    console.log(text);
    process.exit(status);
  };
  const fail = (error: unknown): Promise<never> =>
    finish(STATUS_NOT_RUN, `could not run: ${String(error)}`).catch(() => process.exit(STATUS_NOT_RUN));
  process.on('uncaughtException', (error) => void fail(error));
  process.on('unhandledRejection', (error) => void fail(error));
  setTimeout(() => void finish(STATUS_NOT_RUN, 'the case took too long'), LONGEST_MS);
  for (const name of ['SIGINT', 'SIGTERM'] as const)
    process.on(name, () => void finish(STATUS_NOT_RUN, `ended by ${name}`));
  try {
    await deployment.start(one.findKind);
    const broken = await one.play(deployment, hasTrouble);
    if (record.starts.length === 0 && broken.length === 0) throw new Error('no task was started');
    for (const text of broken) record.note('broken', { text });
    await finish(
      broken.length > 0 ? STATUS_BROKEN : STATUS_HELD,
      broken.length > 0 ? `broken ${broken.length} times, first: ${broken[0]}` : 'held',
    );
  } catch (error) {
    await fail(error);
  }
}
