import type { DispatchSettings } from '../settings/dispatchSettings.js';
import { FairOrder } from './FairOrder.js';
import { DeadlineOrder } from './TaskOrder.js';
import type { TaskOrder } from './TaskOrder.js';

/**
 * Creates the configured task order.
 *
 * @param settings - settings of the dispatcher
 */
export function createTaskOrder({ taskOrder }: Pick<DispatchSettings, 'taskOrder'>): TaskOrder {
  return taskOrder === 'fair' ? new FairOrder() : new DeadlineOrder();
}
