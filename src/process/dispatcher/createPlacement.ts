import type { DispatchSettings } from '../settings/dispatchSettings.js';
import { GroupedPlacement, PreferredPlacement, SpeedPlacement } from './Placement.js';
import type { Placement } from './Placement.js';

/**
 * Creates the configured placement.
 *
 * @param settings - settings of the dispatcher
 */
export function createPlacement({
  placement,
  farFactor,
}: Pick<DispatchSettings, 'placement' | 'farFactor'>): Placement {
  if (placement === 'spread') return new SpeedPlacement(farFactor);
  return placement === 'grouped' ? new GroupedPlacement(farFactor) : new PreferredPlacement(farFactor);
}
