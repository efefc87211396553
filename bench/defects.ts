/**
 * Mutation test of the randomised runs: plants one defect at a time in a copy of the build and expects a
 * failure. `npm run defects [-- NAME]` exits with 1 when a defect is not detected.
 */
import { spawn } from 'node:child_process';
import { cp, readFile, rm, symlink, writeFile } from 'node:fs/promises';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import type { Defect } from './defect.js';
import { DISPATCH_DEFECTS, LIFE_DEFECTS } from './dispatchDefects.js';

const DIST = fileURLToPath(new URL('..', import.meta.url));
const COPIES = path.join(DIST, '..', 'dist-defect');
/** Longest run per defect, minutes. */
const MINUTES = 2;
/** Number of defects tested in parallel. */
const CONCURRENT = 4;

const DEFECTS: readonly Defect[] = [
  {
    name: 'no fence: an agent accepts starts of an earlier epoch',
    file: 'src/process/agent/handleStart.js',
    find: 'if (order < 0)',
    replace: 'if (order < -Infinity)',
  },
  {
    name: 'no tombstone: a refused attempt can still start',
    file: 'src/process/agent/handleStart.js',
    find: 'return start.attempt > known.attempt',
    replace: 'return true || start.attempt > known.attempt',
  },
  {
    name: 'a repeated start runs again',
    file: 'src/process/agent/handleStart.js',
    find: "if (known.state !== 'refused')\n        return false;",
    replace: "if (known.state === 'finished') { known.state = 'refused'; return true; }",
  },
  {
    name: 'takeover without a query to every member',
    file: 'src/process/entry/sweepJob.js',
    find: 'job.sweeping = new Set(members);',
    replace: 'job.sweeping = new Set(members.slice(0, 1));',
  },
  {
    name: 'a member that cannot answer is treated as having started nothing',
    file: 'src/process/entry/sweepJob.js',
    find: 'if (queued > 0 && job.lostMembers.length > 0)',
    replace: 'if (false)',
  },
  {
    name: 'a lower offset is accepted from a peer',
    file: 'src/process/entry/EntryNode.js',
    find: 'if (config.offset > this.state.config.offset)',
    replace: 'if (config.offset !== this.state.config.offset)',
  },
  {
    name: 'an answer is matched by index alone',
    file: 'src/process/entry/handleResult.js',
    find: 'const job = state.jobs.get(result.job);',
    replace:
      'const job = [...state.active].find((one) => one.tasks[result.index]?.state === "sent") ?? state.jobs.get(result.job);',
  },
  {
    name: 'a leaving agent accepts a start',
    file: 'src/process/agent/handleStart.js',
    find: 'if (state.leaving)',
    replace: 'if (false)',
  },
  {
    name: 'a registrar grants a claimed key to the next claimant',
    file: 'src/process/registrar/handleClaim.js',
    find: 'const record = state.claims.get(claim.job);',
    replace: "const record = claim.mode === 'claim' ? undefined : state.claims.get(claim.job);",
  },
  {
    name: 'a new registrar grants before the entries have announced their claims',
    file: 'src/process/registrar/handleClaim.js',
    find: 'if (!isTenureComplete(state, tenure))',
    replace: 'if (false)',
  },
  {
    name: 'the last part of an announcement is treated as the whole',
    file: 'src/process/registrar/handleAnnounce.js',
    find: 'return current.recorded.size === parts;',
    replace: 'return part === parts - 1;',
  },
  {
    name: 'a new registrar ignores claims of entries that are gone',
    file: 'src/process/registrar/handleClaim.js',
    find: 'if (claim.createdAt < findHistoryStart(state, tenure))',
    replace: 'if (false)',
  },
  {
    name: 'an announced claim that may be stale is granted to its owner',
    file: 'src/process/registrar/handleClaim.js',
    find: 'const stale = record.announced &&',
    replace: 'const stale = claim.mode === "takeover" && record.announced &&',
  },
  {
    name: 'a refusal without a lookup',
    file: 'src/process/entry/submitJob.js',
    find: "startClaim(state, job, job.refusal ? 'lookup' : 'claim', now);\n}\n/** Checks whether the entry is leaving",
    replace:
      "if (!job.refusal) return startClaim(state, job, 'claim', now); changeJob(job, 'refuse'); " +
      "state.active.delete(job); job.answer = { outcome: 'refused', ...job.refusal }; deliverAnswer(state, job);\n}\n/** Checks whether the entry is leaving",
  },
];

let missed = 0;
const all = [...DEFECTS, ...DISPATCH_DEFECTS, ...LIFE_DEFECTS];
const waiting = all.filter(({ name }) => name.includes(process.argv[2] ?? ''));
await Promise.all(Array.from({ length: CONCURRENT }, seekNext));
await rm(COPIES, { recursive: true, force: true });
process.exit(missed > 0 ? 1 : 0);

async function seekNext(): Promise<void> {
  for (let defect = waiting.shift(); defect; defect = waiting.shift()) {
    const found = await seekDefect(defect, path.join(COPIES, String(all.indexOf(defect))));
    if (!found) missed += 1;
    console.log(JSON.stringify({ defect: defect.name, ...(found ?? { caught: false }) }));
  }
}

async function seekDefect(defect: Defect, copy: string): Promise<Record<string, unknown> | undefined> {
  await rm(copy, { recursive: true, force: true });
  await cp(DIST, copy, { recursive: true });
  const file = path.join(copy, defect.file);
  const code = await readFile(file, 'utf8');
  if (!code.includes(defect.find))
    throw new Error(`${defect.name}: the text to change is not in ${defect.file}`);
  await writeFile(file, code.replace(defect.find, defect.replace));
  await symlink(path.join(DIST, '..', 'node_modules'), path.join(copy, 'node_modules')).catch(
    () => undefined,
  );
  const output = await runSoak(copy, findCore(defect));
  const cases = /failed after (\d+) test/.exec(output);
  if (!cases) return undefined;
  const batches = output.split('\n').filter((line) => line.startsWith('{"seed"')).length;
  const broken = /(PromiseBroken|InvariantError|Error): (.*)/.exec(
    output.slice(output.indexOf('failed after')),
  );
  return { caught: true, cases: batches * 200 + Number(cases[1]), by: broken?.[0] ?? '' };
}

/** Selects the kind of randomised run for a defect. */
function findCore(defect: Defect): string {
  if (LIFE_DEFECTS.includes(defect)) return 'restarts';
  return DISPATCH_DEFECTS.includes(defect) ? 'dispatch' : 'registrar';
}

async function runSoak(copy: string, core: string): Promise<string> {
  const soak = path.join(copy, 'bench', 'soak.js');
  const args = [soak, '--core', core, '--seed', '1', '--minutes', String(MINUTES)];
  const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'] });
  let output = '';
  child.stdout.on('data', (chunk: Buffer) => (output += chunk.toString()));
  child.stderr.on('data', (chunk: Buffer) => (output += chunk.toString()));
  await new Promise((resolve) => child.once('close', resolve));
  return output;
}
