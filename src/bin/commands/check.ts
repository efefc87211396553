import { readFile } from 'node:fs/promises';

import type { CAC } from 'cac';

import { SettingsError } from '../../_lib/errors.js';
import { checkSettings } from '../../process/settings/checkSettings.js';
import { checkDispatchSettings } from '../../process/settings/readDispatchSettings.js';
import type { Role } from '../../process/settings/settings.js';
import { EXIT_FAILED } from '../exitCodes.js';

interface CheckFlags {
  readonly role?: string;
}

/** Roles whose settings can be checked; the first two are those of the platform. */
const ROLES: readonly (Role | 'dispatcher' | 'executor')[] = [
  'dispatcher',
  'executor',
  'entry',
  'agent',
  'platform',
  'upstream',
];

/**
 * Adds `check`.
 *
 * @param cli - the command line
 */
export function addCheckCommand(cli: CAC): void {
  cli
    .command('check <...files>', 'Check settings files and report every finding with file and pointer')
    .option('--role <role>', `${ROLES.join(' | ')}; by default told from the file's name`)
    .action(async (files: string[], { role }: CheckFlags) => {
      const findings = await Promise.all(files.map((file) => checkFile(file, role)));
      const lines = findings.flat();
      for (const line of lines) console.log(line);
      if (lines.length > 0) process.exitCode = EXIT_FAILED;
      else console.log(`${files.length} checked, no findings`);
    });
}

async function checkFile(file: string, given: string | undefined): Promise<string[]> {
  const role = ROLES.find((one) => (given === undefined ? file.includes(one) : one === given));
  if (!role) throw new SettingsError(`${file}: say --role ${ROLES.join(' | ')}`);
  let input: unknown;
  try {
    input = JSON.parse(await readFile(file, 'utf8'));
  } catch (error) {
    return [`${file}#/: ${error instanceof Error ? error.message : 'is not readable'}`];
  }
  const isPlatform = role === 'dispatcher' || role === 'executor';
  const check = isPlatform ? checkDispatchSettings(input) : checkSettings(role, input);
  if (check.ok) return [];
  return check.findings.map(({ pointer, message }) => `${file}#${pointer || '/'}: ${message}`);
}
