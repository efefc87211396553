/** Explains jobs from the logs of real processes, as docs/OPERATIONS.md describes. */
import { expect } from 'chai';

import { explainJob, parseLogLine } from '../src/process/explain/explainJob.js';
import { PlatformBench } from './fakes/PlatformBench.js';

describe('explaining a job from the logs of real processes', function () {
  this.timeout(120_000);
  const bench = new PlatformBench(1, 2);

  before(() => bench.start());
  after(() => bench.stop());

  function explain(job: string): string {
    const logs = ['entry-1', 'agent-1', 'agent-2'].map((id) => bench.readOutput(id)).join('\n');
    return explainJob(
      job,
      logs.split('\n').flatMap((text) => parseLogLine(text) ?? []),
    ).cause;
  }

  async function waitForCause(job: string, pattern: RegExp): Promise<void> {
    await bench.waitFor(() => pattern.test(explain(job)));
    expect(explain(job)).to.match(pattern);
  }

  it('names a refusal in a burst', async () => {
    void bench.submit('entry-1', 'filler', 8, 3_000);
    await bench.waitFor(() => bench.starts.size === 8);
    expect((await bench.submit('entry-1', 'refused', 1, 50, 3_000)).status).to.equal(503);
    await waitForCause('refused', /^refused: no agent had free capacity/);
  });

  it('names the loss of an executor', async () => {
    await bench.waitUntilIdle();
    const lost = bench.submit('entry-1', 'lost', 8, 1_200);
    await bench.waitFor(
      () => [...bench.atWork.keys()].filter((task) => task.startsWith('lost')).length === 8,
    );
    bench.signal('agent-1', 'SIGKILL');
    expect((await lost).body).to.equal('{"state":"completed"}');
    await waitForCause('lost', /an agent was unresponsive/);
  });

  it('names tasks that failed at their upstream', async () => {
    for (const runner of bench.runners) runner.fails = true;
    expect((await bench.submit('entry-1', 'failing', 1, 50)).body).to.equal('{"state":"failed"}');
    await waitForCause('failing', /^failed: a task failed as often as its queue allows/);
  });
});
