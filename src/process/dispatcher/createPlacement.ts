import type { DispatchSettings } from '../settings/dispatchSettings.js';
import { GroupedPlacement, SpeedPlacement } from './Placement.js';
import type { Placement } from './Placement.js';

/**
 * Creates the placement that the settings name.
 *
 * @param settings - of the dispatcher
 * @returns the placement
 */
export function createPlacement({
  placement,
  farFactor,
}: Pick<DispatchSettings, 'placement' | 'farFactor'>): Placement {
  return placement === 'spread' ? new SpeedPlacement(farFactor) : new GroupedPlacement(farFactor);
}
