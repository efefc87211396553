import type { DispatchSettings } from '../settings/dispatchSettings.js';
import { DelayWindow, LossWindow, UnboundedWindow } from './SendWindow.js';
import type { SendWindow } from './SendWindow.js';

/**
 * Creates the configured send window.
 *
 * @param settings - settings of the dispatcher
 */
export function createSendWindow({ sendWindow }: Pick<DispatchSettings, 'sendWindow'>): SendWindow {
  if (sendWindow === 'open') return new UnboundedWindow();
  return sendWindow === 'loss' ? new LossWindow() : new DelayWindow();
}
