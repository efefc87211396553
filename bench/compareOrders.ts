/** Compares combinations of task order and admission control under the loads of `ScarceCapacityModel`. */
import { countService } from '../test/fakes/countService.js';
import { evaluateJob, LOADS, ScarceCapacityModel } from '../test/fakes/ScarceCapacityModel.js';
import type { ScarceCapacityJob, ScarceCapacityRun } from '../test/fakes/ScarceCapacityModel.js';
import { createRandom } from '../src/_lib/createRandom.js';
import type { Admission } from '../src/process/dispatcher/Admission.js';
import { ForecastAdmission } from '../src/process/dispatcher/Admission.js';
import type { TaskOrder } from '../src/process/dispatcher/TaskOrder.js';
import { DeadlineOrder } from '../src/process/dispatcher/TaskOrder.js';
import { FairOrder } from '../src/process/dispatcher/FairOrder.js';

const SEEDS = 8;

const deadline = (): TaskOrder => new DeadlineOrder();
const fair = (): TaskOrder => new FairOrder();
const forecast = (): Admission => new ForecastAdmission(createRandom(1));

/** Compared variants by name: task order, admission control. */
const VARIANTS: Readonly<Record<string, Pick<ScarceCapacityRun, 'createOrder' | 'createAdmission'>>> = {
  'deadline, patience': { createOrder: deadline },
  'deadline, forecast': { createOrder: deadline, createAdmission: forecast },
  'fair, patience': { createOrder: fair },
  'fair, forecast': { createOrder: fair, createAdmission: forecast },
};

const formatPercent = (share: number): string => (share * 100).toFixed(1).padStart(5);

/** Formats the median time to refusal of the most urgent queue, ms, and the number of refused jobs. */
function formatRefusalTime(jobs: readonly ScarceCapacityJob[]): string {
  const held = jobs.filter((job) => job.queue === 'urgent' && evaluateJob(job) === 'refused');
  const times = held.map(({ answeredAt, arrivedAt }) => answeredAt - arrivedAt).sort((a, b) => a - b);
  return `${times[Math.floor(times.length / 2)] ?? '-'} (${times.length})`;
}

console.log(
  'load | variant | urgent middle large | total, worst queue, worst size, worth | tenth fifth | refused <20 ms, later | late useless 504 | least | ms to refusal',
);
for (const [name, load] of Object.entries(LOADS)) {
  for (const [variant, policies] of Object.entries(VARIANTS)) {
    const jobs = Array.from(
      { length: SEEDS },
      (_, seed) => new ScarceCapacityModel({ ...load, ...policies, seed }).run().jobs,
    );
    const s = countService(jobs.flat());
    const { urgent = 0, middle = 0, large = 0 } = s.queues;
    const columns = [
      [urgent, middle, large],
      [s.total, s.worstQueue, s.worstSize, s.worth],
      [s.tenth, s.fifth],
      [s.refusedAtOnce, s.refusedLater],
      [s.late, s.useless, s.interrupted],
    ];
    const text = columns.map((figures) => figures.map(formatPercent).join(' ')).join(' | ');
    console.log(
      `${name.padEnd(13)} | ${variant.padEnd(20)} | ${text} | ${s.leastShare.toFixed(2)} | ${formatRefusalTime(jobs.flat())}`,
    );
  }
}
