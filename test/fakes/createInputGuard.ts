import { InputGuard } from '../../src/connection/input/InputGuard.js';

/** Creates the guard of the listeners of one process on a small VM. */
export function createInputGuard(): InputGuard {
  return new InputGuard({ memoryMb: 160, maxDescriptors: 4_096, maxInputBytes: 0 });
}
