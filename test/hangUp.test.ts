/** Guards against a `SIGHUP` ending a daemon that is still loading. */
import { spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';

import { expect } from 'chai';

const LOAD_AND_HANG_UP = `
  process.argv.splice(1, 0, 'serve');
  await import(process.argv.at(-1));
  process.kill(process.pid, 'SIGHUP');
`;

function findExit(binary: string): Promise<{ code: number | null; signal: NodeJS.Signals | null }> {
  const file = fileURLToPath(new URL(`../src/bin/${binary}`, import.meta.url));
  const args = ['--input-type=module', '-e', LOAD_AND_HANG_UP, 'serve', 'dispatcher', file];
  const child = spawn(process.execPath, args, { stdio: 'ignore' });
  return new Promise((resolve) => child.on('exit', (code, signal) => resolve({ code, signal })));
}

describe('a daemon that is still loading', function () {
  this.timeout(60_000);

  for (const binary of ['serve.js', 'marblehall.js']) {
    it(`survives SIGHUP (${binary})`, async () => {
      expect((await findExit(binary)).signal).to.equal(null);
    });
  }
});
