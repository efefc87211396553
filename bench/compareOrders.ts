/** Prints what each way to order and to refuse serves of the loads of `ScarceRoomModel`, over some seeds. */
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

/** Ways that are compared, by name. */
const WAYS: Readonly<Record<string, Pick<ScarceCapacityRun, 'createOrder' | 'createAdmission'>>> = {
  'deadline, patience': { createOrder: deadline },
  'deadline, forecast': { createOrder: deadline, createAdmission: forecast },
  'fair, patience': { createOrder: fair },
  'fair, forecast': { createOrder: fair, createAdmission: forecast },
};

const percent = (share: number): string => (share * 100).toFixed(1).padStart(5);

/** Median time after which jobs of the most urgent queue were refused, ms. */
function findHeldMs(jobs: readonly ScarceCapacityJob[]): string {
  const held = jobs.filter((job) => job.queue === 'urgent' && evaluateJob(job) === 'refused');
  const times = held.map(({ answeredAt, arrivedAt }) => answeredAt - arrivedAt).sort((a, b) => a - b);
  return `${times[Math.floor(times.length / 2)] ?? '-'} (${times.length})`;
}

console.log(
  'load | way | urgent middle large | total, queue, size, worth | tenth fifth | refused <20 ms, later | late useless 504 | least | ms held',
);
for (const [name, load] of Object.entries(LOADS)) {
  for (const [way, parts] of Object.entries(WAYS)) {
    const jobs = Array.from(
      { length: SEEDS },
      (_, seed) => new ScarceCapacityModel({ ...load, ...parts, seed }).run().jobs,
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
    const text = columns.map((figures) => figures.map(percent).join(' ')).join(' | ');
    console.log(
      `${name.padEnd(13)} | ${way.padEnd(20)} | ${text} | ${s.leastShare.toFixed(2)} | ${findHeldMs(jobs.flat())}`,
    );
  }
}
