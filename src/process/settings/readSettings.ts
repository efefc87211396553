import { readFile } from 'node:fs/promises';

import { SettingsError } from '../../_lib/errors.js';
import { checkSettings } from './checkSettings.js';
import type { Role, SettingsByRole } from './settings.js';

/**
 * Reads and checks a settings file.
 *
 * @param role - the role
 * @param file - path of a JSON file; undefined to use only the defaults
 * @param overrides - values that override those of the file
 * @returns the settings with their defaults
 * @throws SettingsError that lists all findings with file and pointer
 * @example
 * await readSettings('upstream', undefined, { port: 7441 });
 */
export async function readSettings<R extends Role>(
  role: R,
  file: string | undefined,
  overrides: Readonly<Record<string, unknown>> = {},
): Promise<SettingsByRole[R]> {
  const input = file === undefined ? {} : await parseFile(file);
  const check = checkSettings(role, { ...input, ...overrides });
  if (check.ok) return check.settings;
  const lines = check.findings.map(
    ({ pointer, message }) => `${file ?? 'settings'}#${pointer || '/'}: ${message}`,
  );
  throw new SettingsError(lines.join('\n'));
}

async function parseFile(file: string): Promise<Record<string, unknown>> {
  try {
    return JSON.parse(await readFile(file, 'utf8')) as Record<string, unknown>;
  } catch (cause) {
    throw new SettingsError(`${file}#/: is not a readable JSON file`, { cause });
  }
}
