/** Checks that link targets, metrics, settings, npm scripts and commands in the documentation exist. */
import { readFile, readdir, stat } from 'node:fs/promises';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import { describeSettings } from '../src/process/settings/describeSettings.js';
import { checkSettings } from '../src/process/settings/checkSettings.js';
import type { Role } from '../src/process/settings/settings.js';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const ROLES: readonly Role[] = ['entry', 'agent', 'platform', 'upstream'];
const findings: string[] = [];

const pages = [
  'README.md',
  ...(await readdir(path.join(ROOT, 'docs'), { recursive: true }))
    .filter((name) => name.endsWith('.md'))
    .map((name) => `docs/${name}`),
];
const sources = await readSources(path.join(ROOT, 'src'));
const scripts = JSON.parse(await readFile(path.join(ROOT, 'package.json'), 'utf8')) as {
  scripts: Record<string, string>;
};

for (const page of pages) await checkPage(page);
await checkMetrics();
await checkExamples();
for (const finding of findings) console.log(finding);
process.exit(findings.length > 0 ? 1 : 0);

async function checkPage(page: string): Promise<void> {
  const text = await readFile(path.join(ROOT, page), 'utf8');
  for (const [, target] of text.matchAll(/\]\(([^)#]+)(?:#[^)]*)?\)/g)) {
    if (!target || target.startsWith('http')) continue;
    const file = path.join(ROOT, path.dirname(page), target);
    const found = await stat(file).catch(() => undefined);
    if (!found) findings.push(`${page}: ${target} does not exist`);
  }
  for (const [, script] of text.matchAll(/npm run ([a-z]+)/g)) {
    if (script && !scripts.scripts[script]) findings.push(`${page}: there is no npm script ${script}`);
  }
  for (const [, command] of text.matchAll(/`marblehall ([a-z]+)/g)) {
    if (command && !sources.includes(`.command('${command}`))
      findings.push(`${page}: there is no command ${command}`);
  }
  checkSettingNames(page, text);
}

/** Checks that names of settings and fields, recognised by their suffix, occur in the sources. */
function checkSettingNames(page: string, text: string): void {
  for (const [, name] of text.matchAll(/`([a-z][A-Za-z]+(?:Ms|Bytes|Callers|Jobs|Claims|Agents))`/g)) {
    if (name && !sources.includes(name)) findings.push(`${page}: ${name} is not in the sources`);
  }
}

/** Checks that the documented metrics are the reported ones. */
async function checkMetrics(): Promise<void> {
  const page = await readFile(path.join(ROOT, 'docs/METRICS.md'), 'utf8');
  const listed = new Set([...page.matchAll(/^\| `([a-z_]+)`/gm)].map(([, name]) => name as string));
  const sent = new Set(
    [...sources.matchAll(/metrics\.(?:gauge|increment)\('([a-z_]+)'/g)].map(([, name]) => name as string),
  );
  for (const [, name] of sources.matchAll(/^ {4}((?:dispatcher|executor)_[a-z_]+): \{/gm)) {
    if (name) sent.add(name);
  }
  for (const name of listed) if (!sent.has(name)) findings.push(`docs/METRICS.md: ${name} is never reported`);
  for (const name of sent) if (!listed.has(name)) findings.push(`docs/METRICS.md: ${name} is missing`);
}

async function checkExamples(): Promise<void> {
  const names = (await readdir(path.join(ROOT, 'examples'))).filter((name) => name.endsWith('.json'));
  for (const name of names) {
    const role = ROLES.find((one) => name.startsWith(one));
    if (!role) continue;
    const check = checkSettings(role, JSON.parse(await readFile(path.join(ROOT, 'examples', name), 'utf8')));
    if (!check.ok)
      findings.push(
        ...check.findings.map(({ pointer, message }) => `examples/${name}#${pointer}: ${message}`),
      );
  }
  for (const role of ROLES)
    if (describeSettings(role).length === 0) findings.push(`${role}: has no description of its settings`);
}

async function readSources(directory: string): Promise<string> {
  const names = await readdir(directory, { recursive: true });
  const files = names.filter((name) => name.endsWith('.ts') && !name.includes('.generated.'));
  return (await Promise.all(files.map((name) => readFile(path.join(directory, name), 'utf8')))).join('\n');
}
