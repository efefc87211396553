import { expect } from 'chai';

import { explainJob, parseLogLine } from './explainJob.js';
import type { LogLine } from './explainJob.js';

function line(time: number, event: string, fields: Record<string, unknown>): LogLine {
  return { time, process: 'entry-1', event, fields };
}

describe('explainJob', () => {
  it('ignores prefixes of log collectors and texts that are not log lines', () => {
    const text = '  1.5 entry-1 {"time":5,"process":"entry-1","event":"answer","job":"j"}';
    expect(parseLogLine(text)).to.deep.equal(line(5, 'answer', { job: 'j' }));
    expect(parseLogLine('no line')).to.equal(undefined);
    expect(parseLogLine('{"a":1}')).to.equal(undefined);
  });

  it('sorts the lines of several processes and omits other jobs', () => {
    const lines = [
      line(3, 'answer', { job: 'j', kind: 'completed', tookMs: 10, objectiveMs: 20 }),
      line(1, 'place', { job: 'j', waitedMs: 0 }),
      line(2, 'task-ended', { task: 'j/0/1', end: 'failed' }),
      line(2, 'place', { job: 'j2' }),
    ];
    const { lines: jobLines, cause } = explainJob('j', lines);
    expect(jobLines.map(({ time }) => time)).to.deep.equal([1, 2, 3]);
    expect(cause).to.equal('completed in time');
  });

  it('names the cause of a late job', () => {
    const answer = line(9, 'answer', { job: 'j', kind: 'completed', tookMs: 500, objectiveMs: 200 });
    const lost = line(5, 'attempt-over', { job: 'j', end: 'lost', reason: 'agent-silent' });
    expect(explainJob('j', [answer, lost]).cause).to.match(/^late by 300 ms: an agent was unresponsive/);
    const broken = line(5, 'attempt-over', { job: 'j', end: 'lost', reason: 'link-broke' });
    expect(explainJob('j', [answer, broken]).cause).to.match(
      /^late by 300 ms: a link broke or became unresponsive/,
    );
    const waited = line(5, 'place', { job: 'j', waitedMs: 250 });
    expect(explainJob('j', [answer, waited]).cause).to.match(/waited 250 ms for free capacity/);
  });

  // Guards against a cancelled job that runs without a line that says why.
  it('names the starts of a job after its cancelling, and where they came from', () => {
    const cancel: LogLine = { ...line(2, 'cancel', { job: 'j', isOpen: false }), process: 'entry-2' };
    const lines = [
      cancel,
      line(1, 'place', { job: 'j', waitedMs: 0 }),
      line(3, 'place', { job: 'j', waitedMs: 0 }),
      line(9, 'answer', { job: 'j', kind: 'completed', tookMs: 1, objectiveMs: 2 }),
    ];
    expect(explainJob('j', lines).cause).to.equal(
      'completed in time; cancelled at entry-2, and 1 starts were sent after that by entry-1, which had not heard of it',
    );
    const adopted = line(4, 'cancel-adopted', { job: 'j', ageMs: 2 });
    expect(explainJob('j', [...lines, adopted]).cause).to.match(/by entry-1, which heard of it later$/);
    const refused = line(3, 'refuse', { job: 'j', reason: 'cancelled' });
    expect(explainJob('j', [cancel, refused]).cause).to.equal('refused: cancelled');
  });

  it('explains a job without an answer, and a job without log lines', () => {
    expect(explainJob('j', [line(1, 'place', { job: 'j' })]).cause).to.match(/no answer is logged/);
    expect(explainJob('j', []).cause).to.match(/no log line names this job/);
  });
});
