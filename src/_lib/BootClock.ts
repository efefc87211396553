/** A clock that counts the time in which the VM was suspended, and takes no step of the time of day for such time. */
import { uptime } from 'node:os';
import { performance } from 'node:perf_hooks';

import { Clock } from './Clock.js';

/**
 * How far two readings may have drifted apart before that means something, ms: `os.uptime()` counts in steps of 10 ms, and
 * a process may be held up between two readings. Below the margins of promises between processes.
 */
const DRIFT_MS = 25;
/**
 * Between two looks at the boot clock, ms. A look costs three system calls; steps of the time of day bring one at once, so
 * this bounds only how long a suspension stays hidden that a step back of the same length makes up for.
 */
const LOOK_MS = 250;
/**
 * The same in the first moments of a clock, and how long those are, ms: a boot clock that goes at another pace is found out
 * before much of that has counted as a suspension, and before there are links and leases that it would end.
 */
const EARLY_LOOK_MS = 20;
const EARLY_MS = 60;
/** Looks in a row at which the boot clock must go as the steady one does before it is relied on. */
const LOOKS_TO_TRUST = 40;
/** Looks in a row at which it is ahead and nothing else bears that out, after which it is not relied on. */
const ODD_LOOKS = 2;
/** Longest time between the readings before and after the boot clock's, ms, and how often they are tried. */
const TIGHT_MS = 3;
const TRIES = 3;

/** What a VM has to tell the time by, ms each, from any moment on. */
export interface TimeReadings {
  /** Does not count suspended time, and is never set. */
  readonly readSteady: () => number;
  /** Counts suspended time, and is set by somebody now and then. */
  readonly readTimeOfDay: () => number;
  /** Counts suspended time, and is never set. Costly; not to be had everywhere. */
  readonly readBoot: () => number;
}

/** The readings of the VM. */
export const VM_READINGS: TimeReadings = {
  readSteady: () => performance.now(),
  readTimeOfDay: () => Date.now(),
  readBoot: () => uptime() * 1_000,
};

/** What a clock tells of itself; called while it is being read, so that nothing may be decided there. */
export type ClockEventListener = (
  event: 'suspended' | 'time-of-day-stepped' | 'boot-clock',
  fields: Readonly<Record<string, unknown>>,
) => void;

/** Whether the boot clock is relied on; `unknown` until it has shown how it goes. */
type BootTrust = 'unknown' | 'trusted' | 'doubted';

/** Readings that were made at one moment. */
interface Look {
  readonly steady: number;
  readonly timeOfDay: number;
  /** Undefined where it cannot be read. */
  readonly boot: number | undefined;
}

/**
 * The steady clock and all suspended time. Each reading compares the time of day with the steady clock; the boot clock is
 * looked at when the two drift apart, and every `LOOK_MS`.
 *
 * Where the boot clock cannot be relied on, each step forward of the time of day counts as a suspension; until it has shown
 * whether it can, a step of either does. A wrong one costs work, and a missed one may have a task run twice at once.
 */
export class BootClock extends Clock {
  private suspendedMs = 0;
  private last: Look;
  /** When the clock was created, by the steady clock, ms. */
  private readonly createdAt: number;
  private trust: BootTrust = 'unknown';
  /** Looks in a row at which the boot clock went as the steady one did. */
  private evenLooks = 0;
  /** Looks in a row at which it did not, and nothing bore it out. */
  private oddLooks = 0;

  /**
   * @param note - is told of suspensions and steps
   * @param readings - of the VM
   */
  constructor(
    private readonly note: ClockEventListener,
    private readonly readings = VM_READINGS,
  ) {
    super();
    this.last = this.look();
    this.createdAt = this.last.steady;
  }

  override now(): number {
    const timeOfDay = this.readings.readTimeOfDay();
    const steady = this.readings.readSteady();
    const { last } = this;
    const drift = timeOfDay - last.timeOfDay - (steady - last.steady);
    if (Math.abs(drift) <= DRIFT_MS && steady - last.steady < this.findLookMs(steady))
      return steady + this.suspendedMs;
    this.review(last, this.look());
    return this.readings.readSteady() + this.suspendedMs;
  }

  override readSteady(): number {
    return this.readings.readSteady();
  }

  override sleep(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
  }

  private findLookMs(steady: number): number {
    const isEarly = this.trust === 'unknown' && steady - this.createdAt < EARLY_MS;
    return isEarly ? EARLY_LOOK_MS : LOOK_MS;
  }

  private get isBootTrusted(): boolean {
    return this.trust === 'trusted';
  }

  /** Reads all clocks as close together as it goes. */
  private look(): Look {
    const { readSteady, readTimeOfDay } = this.readings;
    for (let tries = 1; ; tries += 1) {
      const before = readSteady();
      const boot = this.readBoot();
      const timeOfDay = readTimeOfDay();
      const after = readSteady();
      if (after - before <= TIGHT_MS || tries === TRIES) return { steady: after, timeOfDay, boot };
    }
  }

  private readBoot(): number | undefined {
    try {
      return this.readings.readBoot();
    } catch {
      // Told as a boot clock in doubt.
      return undefined;
    }
  }

  /** Compares two looks: counts a suspension between them, or notes a step of the time of day. */
  private review(before: Look, after: Look): void {
    const dayDrift = findDrift(before, after, 'timeOfDay') ?? 0;
    const bootDrift = findDrift(before, after, 'boot');
    const wasUnknown = this.trust === 'unknown';
    const isOdd = this.reviewTrust(bootDrift, dayDrift, after.steady - before.steady);
    const relied = this.isBootTrusted || isOdd ? (bootDrift ?? dayDrift) : dayDrift;
    const suspended = wasUnknown ? Math.max(bootDrift ?? 0, dayDrift) : relied;
    // A boot clock that is in order never drifts but by suspensions, so small ones add up; one in doubt begins anew.
    const keepsBoot = this.isBootTrusted && suspended <= DRIFT_MS && before.boot !== undefined;
    const boot = keepsBoot ? before.boot + (after.steady - before.steady) : after.boot;
    this.last = { ...after, boot };
    if (suspended > DRIFT_MS) this.addSuspended(suspended, dayDrift);
    else if (Math.abs(dayDrift) > DRIFT_MS) this.note('time-of-day-stepped', { ms: Math.round(dayDrift) });
  }

  /**
   * Notes how the boot clock went. It is relied on after many looks at which it went as it must, and not any more once it
   * falls behind, cannot be read, or is ahead again and again without a step of the time of day that bears it out.
   *
   * @returns whether it is ahead alone, which counts while it has been relied on
   */
  private reviewTrust(bootDrift: number | undefined, dayDrift: number, elapsedMs: number): boolean {
    const wasTrusted = this.isBootTrusted;
    if (bootDrift === undefined || bootDrift < -DRIFT_MS * 2) {
      this.setTrust('doubted', bootDrift);
      return false;
    }
    if (bootDrift <= DRIFT_MS) {
      this.oddLooks = 0;
      if (elapsedMs < LOOK_MS) return false;
      this.evenLooks += 1;
      if (this.evenLooks >= LOOKS_TO_TRUST) this.setTrust('trusted', bootDrift);
      return false;
    }
    if (Math.abs(bootDrift - dayDrift) <= DRIFT_MS) return false;
    this.oddLooks += 1;
    if (!wasTrusted || this.oddLooks >= ODD_LOOKS) this.setTrust('doubted', bootDrift);
    return wasTrusted;
  }

  private setTrust(trust: BootTrust, drift: number | undefined): void {
    if (trust === 'doubted') this.evenLooks = 0;
    if (trust === this.trust) return;
    this.trust = trust;
    this.note('boot-clock', { trust, driftMs: drift === undefined ? 'unreadable' : Math.round(drift) });
  }

  private addSuspended(ms: number, dayDrift: number): void {
    this.suspendedMs += ms;
    this.note('suspended', { ms: Math.round(ms), timeOfDayMs: Math.round(dayDrift), bootClock: this.trust });
  }
}

/** How much more than the steady clock another one has counted between two looks, ms; undefined where it is not known. */
function findDrift(before: Look, after: Look, clock: 'timeOfDay' | 'boot'): number | undefined {
  const from = before[clock];
  const to = after[clock];
  if (from === undefined || to === undefined) return undefined;
  return to - from - (after.steady - before.steady);
}
