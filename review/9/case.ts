/** A job that can never be done, once at each dispatcher, keeps all links between dispatchers and executors down. */
import { randomBytes } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';

import { PREFIX } from '../lib-3/Deployment.js';
import { sendToAll } from '../lib-3/ordinaryJobs.js';
import { runCase } from '../lib-3/runCase.js';

/** Pause after these jobs, and how long ordinary ones come, ms. */
const PAUSE_MS = 5_000;
const TRAFFIC_MS = 30_000;
const PATIENCE_MS = 110_000;

/** Each task asks for more than any runner has; together they ask for 1.08 million cores. */
const hopeless = JSON.stringify({
  spec: '20000',
  best_effort: true,
  steps: [{ count: 1_800, cpu: 600_000, mem_mb: 64, estimate_ms: 20_000 }],
});

void runCase({
  number: 9,
  dispatchers: 3,
  executors: 6,
  findKind: (number) => ({ labels: ['a', `r-${number}`], cpu: 16_000 }),
  play: async (deployment, hasTrouble) => {
    for (const id of hasTrouble ? deployment.listDispatchers() : []) {
      const job = randomBytes(8).toString('hex');
      void deployment.call(id, 'POST', `${PREFIX}${job}`, hopeless, PATIENCE_MS);
    }
    await sleep(PAUSE_MS);
    const { sent, served } = await sendToAll(deployment, TRAFFIC_MS);
    deployment.record.note('judged', { sent, served });
    console.log(`${served} of ${sent} ordinary requests were served`);
    return served === 0 ? [`no request was served: ${sent} ordinary ones, and three that can't be done`] : [];
  },
});
