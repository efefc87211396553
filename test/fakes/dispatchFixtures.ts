/** Default queue, step and limits for tests of the dispatcher. */
import { SpeedPlacement } from '../../src/process/dispatcher/Placement.js';
import type { DispatchOptions } from '../../src/process/dispatcher/dispatchOptions.js';
import { DelayWindow } from '../../src/process/dispatcher/SendWindow.js';
import { JobBounds } from '../../src/request/dispatch/JobBounds.js';
import type { JobLimits } from '../../src/request/dispatch/JobBounds.js';
import type { StepNeed } from '../../src/request/dispatch/submission.js';
import type { QueueRoute } from '../../src/version/configuration.js';

/** Queue with default values. */
export const ROUTE: QueueRoute = {
  name: 'queue',
  host: 'a.example',
  pathPrefix: '/q/',
  service: 'service',
  priority: 0,
  maxAttempts: 2,
  stretch: 1.6,
  targetLatencyMs: 60,
  needsAdvice: false,
};

/** Step of one task. */
export const STEP: StepNeed = {
  count: 1,
  resources: { cpuMilli: 1_000, memoryMb: 10, gpus: 0 },
  estimateMs: 100,
  after: [],
  requiredLabel: '',
  preferredRack: '',
};

/** Limits that no test reaches unintentionally. */
export const WIDE_LIMITS: JobLimits = {
  maxOpenJobs: 100_000,
  maxOpenBytes: 1_000_000_000,
  maxJobTasks: 10_000,
  maxJobSteps: 1_000,
};

/** Creates the policies of the dispatchers in the simulation. */
export function createPolicies(): Pick<DispatchOptions, 'bounds' | 'placement' | 'window'> {
  return {
    bounds: new JobBounds(WIDE_LIMITS),
    placement: new SpeedPlacement(1.5),
    window: new DelayWindow(),
  };
}
