import type { DispatchSettings } from '../settings/dispatchSettings.js';
import { DelayWindow, LossWindow, OpenWindow } from './SendWindow.js';
import type { SendWindow } from './SendWindow.js';

/**
 * Creates the window that the settings name.
 *
 * @param settings - of the dispatcher
 * @returns the window
 */
export function createSendWindow({ sendWindow }: Pick<DispatchSettings, 'sendWindow'>): SendWindow {
  if (sendWindow === 'open') return new OpenWindow();
  return sendWindow === 'loss' ? new LossWindow() : new DelayWindow();
}
