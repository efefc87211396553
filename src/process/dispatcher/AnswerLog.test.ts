import { expect } from 'chai';

import type { MetricsServer } from '../MetricsServer.js';
import type { ProcessLogger } from '../logger.js';
import { AnswerLog } from './AnswerLog.js';

describe('AnswerLog', () => {
  // Each malformed body added a time series with its findings, and a log line, for as long as the process ran.
  it('takes no label from what a client has sent, and limits the lines about rejected jobs', () => {
    const labels = new Set<string>();
    const lines: unknown[] = [];
    const metrics = {
      increment: (name: string, values: object) => void labels.add(name + JSON.stringify(values)),
    };
    const logger = { info: (_: string, fields: unknown) => void lines.push(fields) };
    const answers = new AnswerLog(
      logger as unknown as ProcessLogger,
      metrics as unknown as MetricsServer,
      () => 7,
    );
    for (let number = 0; number < 10_000; number += 1) {
      const detail = `/steps/${number}: must be object`;
      answers.recordRejected({ jobId: `job-${number}`, status: 400, reason: 'malformed', detail }, 0);
    }
    expect(labels.size).to.equal(1);
    expect(lines.length).to.equal(100);
    expect(lines[0]).to.deep.equal({
      job: 'job-0',
      status: 400,
      reason: '/steps/0: must be object',
      version: 7,
    });
    answers.recordRejected({ jobId: 'later', status: 413, reason: 'cut', detail: '' }, 1_000);
    expect(lines.at(-1)).to.deep.equal({
      job: 'later',
      status: 413,
      reason: 'cut',
      version: 7,
      skipped: 9_900,
    });
  });
});
