import type { DispatchSettings } from '../settings/dispatchSettings.js';
import { ForecastAdmission, CallerTimeoutAdmission } from './Admission.js';
import type { Admission } from './Admission.js';

/**
 * Creates the admission that the settings name.
 *
 * @param settings - of the dispatcher
 * @param nextRandom - spreads the times at which callers come back
 * @returns the admission
 */
export function createAdmission(
  { admission }: Pick<DispatchSettings, 'admission'>,
  nextRandom: () => number,
): Admission {
  return admission === 'forecast' ? new ForecastAdmission(nextRandom) : new CallerTimeoutAdmission();
}
