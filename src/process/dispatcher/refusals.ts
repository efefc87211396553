/** Refusals of submissions that are not admitted. */
import type { Refusal } from '../../request/dispatch/submission.js';
import { RETRY_AFTER_MS } from './Admission.js';

/** Refusal of a job that has been cancelled. */
export const CANCELLED: Refusal = { kind: 'refused', reason: 'cancelled', retryAfterMs: undefined };

/** Refusal beyond the limits of all open jobs. */
export const FULL: Refusal = { kind: 'refused', reason: 'full', retryAfterMs: RETRY_AFTER_MS };
