import SonicBoomModule from 'sonic-boom';

import type { LineSink } from './logger.js';

const STANDARD_OUTPUT = 1;
/** Characters that may wait for a reader that does not read; further lines are dropped and counted. */
const MAX_WAITING = 4 * 1024 * 1024;

/**
 * Creates a sink that writes to standard output without ever waiting for its reader, as `process.stdout` does on a
 * pipe. Lines that are dropped are counted, and the count is written once there is room again.
 *
 * @returns the sink
 */
export function createLogSink(): LineSink {
  const stream = new SonicBoomModule.SonicBoom({ fd: STANDARD_OUTPUT, sync: false, maxLength: MAX_WAITING });
  let dropped = 0;
  stream.on('drop', () => (dropped += 1));
  stream.on('drain', () => {
    if (dropped === 0) return;
    const count = dropped;
    dropped = 0;
    stream.write(`{"event":"log-dropped","batches":${count}}\n`);
  });
  stream.on('error', () => undefined);
  return (text) => void stream.write(text);
}
