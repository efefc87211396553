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

/** Roles whose settings can be checked. */
const ROLES: readonly (Role | 'dispatcher' | 'executor')[] = [
  'dispatcher',
  'executor',
  'entry',
  'agent',
  'platform',
  'upstream',
];

/**
 * Adds the `check` command.
 *
 * @param cli - the command line
 */
export function addCheckCommand(cli: CAC): void {
  cli
    .command('check <...files>', 'Check settings files and list findings with file and JSON pointer')
    .option('--role <role>', `${ROLES.join(' | ')}; by default derived from the file name`)
    .action(async (files: string[], { role }: CheckFlags) => {
      const findings = await Promise.all(files.map((file) => checkFile(file, role)));
      const lines = findings.flat();
      for (const line of lines) console.log(line);
      if (lines.length > 0) process.exitCode = EXIT_FAILED;
      else console.log(`${files.length} files checked, no findings`);
    });
}

async function checkFile(file: string, roleFlag: string | undefined): Promise<string[]> {
  const role = ROLES.find((name) => (roleFlag === undefined ? file.includes(name) : name === roleFlag));
  if (!role) throw new SettingsError(`${file}: unknown role, specify --role ${ROLES.join(' | ')}`);
  let input: unknown;
  try {
    input = JSON.parse(await readFile(file, 'utf8'));
  } catch (error) {
    return [`${file}#/: ${error instanceof Error ? error.message : 'cannot be read'}`];
  }
  const isPlatform = role === 'dispatcher' || role === 'executor';
  const check = isPlatform ? checkDispatchSettings(input) : checkSettings(role, input);
  if (check.ok) return [];
  return check.findings.map(({ pointer, message }) => `${file}#${pointer || '/'}: ${message}`);
}
