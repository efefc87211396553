import SonicBoomModule from 'sonic-boom';

import type { LineSink } from './logger.js';

const STANDARD_OUTPUT = 1;
/** Most bytes buffered for a slow reader; further batches of lines are dropped and counted. */
const MAX_BUFFERED_LENGTH = 4 * 1024 * 1024;

/**
 * Creates a sink that writes to standard output without blocking, whereas `process.stdout` blocks on a pipe
 * with a slow reader. The count of dropped batches is logged once the buffer has drained.
 *
 * @returns the sink
 */
export function createLogSink(): LineSink {
  const stream = new SonicBoomModule.SonicBoom({
    fd: STANDARD_OUTPUT,
    sync: false,
    maxLength: MAX_BUFFERED_LENGTH,
  });
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
