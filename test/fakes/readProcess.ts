/** Memory and descriptors of a process, as the kernel counts them. */
import { readdir, readFile } from 'node:fs/promises';

const KIBIBYTE = 1_024;
/** Unit in which Linux counts processor time, ms. */
const TICK_MS = 10;

/** Figures of one process. */
export interface ProcessFigures {
  /** Resident memory, bytes. */
  readonly residentBytes: number;
  /** Highest resident memory since the start, bytes. */
  readonly peakBytes: number;
  readonly descriptors: number;
  /** Processor time since the start, ms. */
  readonly cpuMs: number;
}

/**
 * Reads the figures of a process.
 *
 * @param pid - id of the process
 * @returns the figures; undefined when it does not run
 */
export async function readProcess(pid: number): Promise<ProcessFigures | undefined> {
  try {
    const status = await readFile(`/proc/${pid}/status`, 'utf8');
    const descriptors = (await readdir(`/proc/${pid}/fd`)).length;
    const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
    // The fields after the name of the program: user and system time are the 12th and 13th of them.
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    const cpuMs = (Number(fields[11]) + Number(fields[12])) * TICK_MS;
    const residentBytes = findKibibytes(status, 'VmRSS') * KIBIBYTE;
    if (residentBytes === 0) return undefined;
    return { residentBytes, peakBytes: findKibibytes(status, 'VmHWM') * KIBIBYTE, descriptors, cpuMs };
  } catch {
    // The process has exited.
    return undefined;
  }
}

function findKibibytes(status: string, name: string): number {
  return Number(new RegExp(`^${name}:\\s+(\\d+) kB$`, 'm').exec(status)?.[1] ?? 0);
}
