/** Ids of jobs that clients may send, on real processes. */
import { expect } from 'chai';

import { PlatformBench } from './fakes/PlatformBench.js';

const TASK_MS = 20;
const SOUND_IDS = ['5c0e7a21d94b36f8', '5C0E7A21D94B36F8', 'a', '-', '_', 'x'.repeat(128)];
const ODD_IDS = ['5c0e7a21.d94b36f8', '.', 'a.0.0.0', 'a/b', 'a%20b', 'a;b', '%00', 'x'.repeat(129)];

describe('job ids', function () {
  this.timeout(60_000);
  let bench: PlatformBench;

  beforeEach(async () => {
    bench = new PlatformBench(1, 1);
    await bench.start();
  });

  afterEach(async () => bench.stop());

  // One job whose id held a dot took each upstream that ran it out of use for good.
  it('of one form are served, and any other is rejected at once and takes no service from others', async () => {
    for (const [at, odd] of ODD_IDS.entries()) {
      const rejected = await bench.submit('entry-1', odd, 1, TASK_MS);
      expect([rejected.status, rejected.body]).to.deep.equal([
        400,
        '{"error":"not a job id: must match ^[0-9A-Za-z_-]{1,128}$"}',
      ]);
      expect((await bench.get('entry-1', `/q/${odd}`)).status, odd).to.equal(410);
      expect((await bench.cancel('entry-1', odd)).status, odd).to.equal(410);
      expect((await bench.submit('entry-1', `ordinary-${at}`, 2, TASK_MS)).status).to.equal(200);
    }
    for (const id of SOUND_IDS)
      expect((await bench.submit('entry-1', id, 2, TASK_MS)).status, id).to.equal(200);
    expect([...bench.starts.keys()].filter((task) => !/^[^.]+\.0\.0\.[01]$/.test(task))).to.deep.equal([]);
  });
});
