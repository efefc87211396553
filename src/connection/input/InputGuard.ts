/** Budget and turns of the input of one process, shared by all its listeners. */
import type { ClosedInput } from './InputAccount.js';
import { InputBudget } from './InputBudget.js';
import { InputTurns } from './InputTurns.js';
import { deriveInputLimits } from './deriveInputLimits.js';
import type { InputLimits, InputSettings } from './deriveInputLimits.js';

/** Most connections of a listener that few peers use, such as readiness checks, reports and metrics. */
export const MAX_SERVICE_CONNECTIONS = 64;

/** Guards the listeners of one process. */
export class InputGuard {
  readonly limits: InputLimits;
  readonly budget: InputBudget;
  readonly turns: InputTurns;
  private recordClosed: (closed: ClosedInput) => void = () => undefined;

  /**
   * @param settings - size of the VM
   * @param now - reads the monotonic clock, ms
   */
  constructor(
    settings: InputSettings,
    readonly now: () => number = () => performance.now(),
  ) {
    this.limits = deriveInputLimits(settings);
    this.budget = new InputBudget({
      limits: this.limits,
      now,
      recordClosed: (closed) => this.recordClosed(closed),
    });
    this.turns = new InputTurns(now);
  }

  /** Sets what is called for each connection that is closed because of a limit. */
  reportTo(recordClosed: (closed: ClosedInput) => void): void {
    this.recordClosed = recordClosed;
  }
}
