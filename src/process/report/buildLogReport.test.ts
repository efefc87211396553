import { expect } from 'chai';

import type { LogLine } from '../explain/explainJob.js';
import { buildLogReport } from './buildLogReport.js';
import { renderLogReport } from './renderLogReport.js';

const START_MS = 1_000_000;
const WINDOW_S = 2;

function line(atMs: number, event: string, fields: Record<string, unknown>, process = 'entry-1'): LogLine {
  return { time: START_MS + atMs, process, event, fields };
}

function answer(atMs: number, job: string, fields: Record<string, unknown>, process?: string): LogLine {
  return line(atMs, 'answer', { job, queue: 'q', kind: 'completed', ...fields }, process);
}

const LINES: readonly LogLine[] = [
  line(0, 'started', {}),
  line(10, 'place', { job: 'a', waitedMs: 10 }),
  line(60, 'attempt-over', { job: 'a', end: 'not-run', reason: 'full' }),
  line(60, 'place', { job: 'a', waitedMs: 60 }),
  answer(300, 'a', { tookMs: 300, objectiveMs: 200 }),
  answer(400, 'b', { kind: 'refused', reason: 'no-room', tookMs: 90, objectiveMs: 200 }),
  line(2_100, 'place', { job: 'a', waitedMs: 0 }, 'entry-2'),
  answer(2_150, 'a', { tookMs: 50, objectiveMs: 200 }, 'entry-2'),
];

describe('buildLogReport', () => {
  it('summarizes each window of a queue', () => {
    const [queue] = buildLogReport(LINES, WINDOW_S).queues;
    expect(queue?.queue).to.equal('q');
    expect(queue?.windows).to.deep.equal([
      {
        startS: 0,
        answered: 2,
        late: 1,
        refused: 1,
        interrupted: 0,
        failed: 0,
        withReturns: 1,
        firstWaitMs: { median: 10, p90: 10 },
        lastWaitMs: { median: 60, p90: 60 },
      },
      {
        startS: 2,
        answered: 1,
        late: 0,
        refused: 0,
        interrupted: 0,
        failed: 0,
        withReturns: 0,
        firstWaitMs: { median: 0, p90: 0 },
        lastWaitMs: { median: 0, p90: 0 },
      },
    ]);
  });

  it('accepts lines in any order', () => {
    const report = buildLogReport(LINES, WINDOW_S);
    expect(buildLogReport([...LINES].reverse(), WINDOW_S).queues).to.deep.equal(report.queues);
  });

  it('counts attempts that did not complete by end and reason', () => {
    expect(buildLogReport(LINES, WINDOW_S).attempts).to.deep.equal([
      { end: 'not-run', reason: 'full', count: 1 },
    ]);
  });

  it('is empty without log lines', () => {
    expect(buildLogReport([], WINDOW_S)).to.deep.equal({ queues: [], attempts: [] });
  });

  it('renders one row per window', () => {
    const text = renderLogReport(buildLogReport(LINES, WINDOW_S));
    expect(text.split('\n')[0]).to.equal('queue q');
    expect(text.split('\n').slice(2, 4).join('\n')).to.match(/^ +0 +2 +1 +1 .*\n +2 +1 +0 /);
    expect(text).to.include('1 not-run full');
  });
});
