/** Test double of a caller. */
import type { Caller } from '../../src/ports/CallerGateway.js';
import type { JobOutcome } from '../../src/request/dispatch/submission.js';

/** Records its answers. */
export class FakeCaller implements Caller {
  readonly answers: JobOutcome[] = [];

  answer(outcome: JobOutcome): void {
    this.answers.push(outcome);
  }
}
