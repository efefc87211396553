import type { DispatchSettings } from '../settings/dispatchSettings.js';
import { ForecastAdmission, CallerTimeoutAdmission } from './Admission.js';
import type { Admission } from './Admission.js';

/**
 * Creates the configured admission.
 *
 * @param settings - settings of the dispatcher
 * @param nextRandom - source of the retry jitter
 */
export function createAdmission(
  { admission }: Pick<DispatchSettings, 'admission'>,
  nextRandom: () => number,
): Admission {
  return admission === 'forecast' ? new ForecastAdmission(nextRandom) : new CallerTimeoutAdmission();
}
