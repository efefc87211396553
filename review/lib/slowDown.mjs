/**
 * Lets a process run for a share of each cycle only, as on a machine that runs slower. Usage:
 * `node slowDown.mjs PID RUN_MS STOP_MS FOR_MS`. The process goes on at the end.
 */
import process from 'node:process';

const [pid, runMs, stopMs, forMs] = process.argv.slice(2).map(Number);
const cell = new Int32Array(new SharedArrayBuffer(4));
const endAt = Date.now() + forMs;

while (Date.now() < endAt) {
  process.kill(pid, 'SIGSTOP');
  Atomics.wait(cell, 0, 0, stopMs);
  process.kill(pid, 'SIGCONT');
  Atomics.wait(cell, 0, 0, runMs);
}
