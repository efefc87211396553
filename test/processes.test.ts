/** Invariants of real processes; the stand-in upstreams count starts. No assertion depends on speed. */
import { expect } from 'chai';
import { request } from 'undici';

import { ProcessCluster } from '../bench/ProcessCluster.js';
import { buildCallerJob, submitUntilAnswered } from '../bench/resubmittingCaller.js';
import type { CallerJob } from '../bench/resubmittingCaller.js';

const DECLARE =
  'declare event opening services s kinds quote(service = s, deadline = 60s, expected = 50ms), ' +
  'seal(service = s, priority = 0, deadline = 60s, expected = 200ms)';
const PATIENCE = { tries: 30, patienceMs: 20_000 };

function buildJob(key: string, tasks: number, workMs = 40): CallerJob {
  return buildCallerJob(
    key,
    'opening',
    'quote',
    Array.from({ length: tasks }, () => workMs),
    60_000,
  );
}

describe('separate processes', function () {
  this.timeout(120_000);
  let cluster: ProcessCluster;

  beforeEach(async () => {
    cluster = new ProcessCluster({ entries: 2, agents: 4 });
    await cluster.start();
    expect((await cluster.runCommand(DECLARE)).status).to.equal(200);
    const version = Number(
      ((await cluster.runCommand('list events')).body['rows'] as { version: number }[])[0]?.version,
    );
    await cluster.waitFor(async () => (await cluster.readStats('entry-2')).configOffset >= version, 20_000);
  });

  afterEach(async () => {
    const starts = await cluster.readStarts();
    await cluster.stop();
    expect([...starts].filter(([, count]) => count > 1)).to.deep.equal([]);
  });

  it('answer every job completely while an agent and an entry stop as planned', async () => {
    const jobs = Array.from({ length: 60 }, (_, number) => buildJob(`planned-${number}`, 1 + (number % 20)));
    const urls = cluster.entryUrls;
    const answers = jobs.map((job, first) => submitUntilAnswered(job, urls, { ...PATIENCE, first }));
    cluster.signal('agent-1', 'SIGTERM');
    cluster.signal('entry-2', 'SIGTERM');
    expect(await cluster.waitForExit('entry-2')).to.equal(0);
    expect(await cluster.waitForExit('agent-1')).to.equal(0);
    const outcomes = (await Promise.all(answers)).map(({ outcome, submissions }) => ({
      outcome,
      submissions,
    }));
    for (const one of outcomes) expect(one).to.deep.equal({ outcome: 'complete', submissions: 1 });
  });

  it('return the same answer through the other entry to a caller that lost its connection', async () => {
    const job = buildJob('cut', 6, 300);
    const cut = new AbortController();
    const first = request(`${cluster.url('entry-1')}/v1/jobs`, {
      method: 'POST',
      body: JSON.stringify(job),
      signal: cut.signal,
    });
    await cluster.waitFor(async () => (await cluster.readStarts()).size > 0, 20_000);
    cut.abort();
    await first.catch(() => undefined);
    const again = await submitUntilAnswered(job, [cluster.url('entry-2')], { ...PATIENCE, first: 0 });
    expect(again.outcome).to.equal('complete');
    expect((await cluster.readStarts()).size).to.equal(6);
  });

  it('take over the job of a killed entry with one start per task', async () => {
    const job = buildJob('killed', 8, 400);
    const lost = submitUntilAnswered(job, [cluster.url('entry-1')], {
      first: 0,
      tries: 1,
      patienceMs: 20_000,
    });
    await cluster.waitFor(async () => (await cluster.readStarts()).size > 0, 20_000);
    cluster.signal('entry-1', 'SIGKILL');
    expect((await lost).outcome).to.equal('none');
    const again = await submitUntilAnswered(job, [cluster.url('entry-2')], { ...PATIENCE, first: 0 });
    expect(again.outcome).to.equal('complete');
  });

  it('take over the job of a frozen entry, which starts nothing after it resumes', async () => {
    const wide = buildJob('frozen', 120, 200);
    const frozen = submitUntilAnswered(wide, [cluster.url('entry-1')], {
      first: 0,
      tries: 1,
      patienceMs: 60_000,
    });
    await cluster.waitFor(async () => (await cluster.readStarts()).size > 0, 20_000);
    cluster.signal('entry-1', 'SIGSTOP');
    const again = await submitUntilAnswered(wide, [cluster.url('entry-2')], { ...PATIENCE, first: 0 });
    cluster.signal('entry-1', 'SIGCONT');
    expect(again.outcome).to.equal('complete');
    expect(['complete', 'failed', 'none']).to.include((await frozen).outcome);
    expect((await cluster.readStarts()).size).to.equal(120);
  });

  it('serve jobs while the log is unavailable, and apply a command whose answer was lost once', async () => {
    await cluster.setFaults('platform', { down: true });
    const answers = Array.from({ length: 20 }, (_, number) => {
      return submitUntilAnswered(buildJob(`outage-${number}`, 3), cluster.entryUrls, {
        ...PATIENCE,
        first: number,
      });
    });
    for (const { outcome } of await Promise.all(answers)) expect(outcome).to.equal('complete');
    await cluster.setFaults('platform', { down: false, loseAnswers: 1 });
    const { status, body } = await cluster.runCommand(
      'declare event closing services s kinds ping(service = s)',
    );
    expect({ status, accepted: body['accepted'] }).to.deep.equal({ status: 200, accepted: true });
    const rows = (await cluster.runCommand('list events where event = closing')).body['rows'] as {
      version: number;
    }[];
    expect(rows.map(({ version }) => version)).to.deep.equal([body['version']]);
  });

  it('report an invalid upstream answer as a failed task, and a broken connection as a failed job', async () => {
    for (const id of cluster.listIds('upstream')) await cluster.setFaults(id, { garbage: 1 });
    const garbage = await request(`${cluster.url('entry-1')}/v1/jobs`, {
      method: 'POST',
      body: JSON.stringify(buildJob('garbage', 1)),
    });
    expect(await garbage.body.json()).to.deep.equal({
      job: 'garbage',
      outcome: 'complete',
      answers: [{ status: 502, body: { error: 'answer-not-json' } }],
    });
    for (const id of cluster.listIds('upstream')) await cluster.setFaults(id, { garbage: 0, cut: 1 });
    const lost = await submitUntilAnswered(buildJob('lost', 1), cluster.entryUrls, { ...PATIENCE, first: 0 });
    expect(lost.outcome).to.equal('failed');
  });
});
