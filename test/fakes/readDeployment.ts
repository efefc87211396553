/** How the deploy file starts the daemons, and what its settings template takes from the limits of a VM. */
import { readFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';

const ROOT = new URL('../../../', import.meta.url);

/** Limits of a VM, as the platform's settings name them. */
export interface MachineLimits {
  readonly memory_mb: number;
  readonly max_fds: number;
}

/** What the deployment says of the daemons. */
export interface Deployment {
  /** Arguments of Node.js by role. */
  readonly nodeArgs: Readonly<Record<string, readonly string[]>>;
  /** Builds the settings that the template fills from the limits of a VM. */
  readonly fillLimits: (limits: MachineLimits) => Readonly<Record<string, number>>;
}

/** Reads the deployment. */
export async function readDeployment(): Promise<Deployment> {
  const system = await readFile(fileURLToPath(new URL('deploy/system.toml', ROOT)), 'utf8');
  const template = await readFile(fileURLToPath(new URL('platform/settings.template.json', ROOT)), 'utf8');
  const runs = [...system.matchAll(/^run = "node (.*?) ?target\/serve\.cjs serve (\w+)"$/gm)];
  const nodeArgs = Object.fromEntries(runs.map(([, args = '', role = '']) => [role, args.split(' ')]));
  const fields = [...template.matchAll(/"(\w+)": \{\{limits\.(memory_mb|max_fds)\}\}/g)];
  const fillLimits = (limits: MachineLimits): Record<string, number> =>
    Object.fromEntries(fields.map(([, key = '', name]) => [key, limits[name as keyof MachineLimits]]));
  return { nodeArgs, fillLimits };
}
