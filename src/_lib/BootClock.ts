/** Monotonic clock that includes the time in which the VM was suspended and ignores steps of the wall clock. */
import { uptime } from 'node:os';
import { performance } from 'node:perf_hooks';

import { Clock } from './Clock.js';

/**
 * Tolerated drift between two clocks, ms. Covers the 10 ms resolution of `os.uptime()` and delays between two
 * readings, and is less than the safety margins of leases and timeouts.
 */
const DRIFT_TOLERANCE_MS = 25;
/**
 * Interval between samples of the boot clock, ms, which limits the number of system calls. A step of the wall
 * clock triggers a sample at once, so the interval only delays a suspension masked by an equal step back.
 */
const SAMPLE_INTERVAL_MS = 250;
/** Interval between samples during startup, ms: detects a boot clock of a wrong rate before leases exist. */
const STARTUP_SAMPLE_INTERVAL_MS = 20;
/** Duration of the startup, ms. */
const STARTUP_MS = 60;
/** Consecutive samples consistent with the steady clock after which the boot clock is trusted. */
const SAMPLES_TO_TRUST = 40;
/** Consecutive unconfirmed leads after which the boot clock is not trusted any more. */
const UNCONFIRMED_LEADS_TO_DOUBT = 2;
/** Maximum duration of a sample, ms; slower ones are retried. */
const MAX_SAMPLE_SPAN_MS = 3;
/** Maximum number of attempts to take a sample within `MAX_SAMPLE_SPAN_MS`. */
const MAX_SAMPLE_ATTEMPTS = 3;

/** Clocks of a VM, ms since an arbitrary origin. */
export interface TimeReadings {
  /** Monotonic clock without suspended time. */
  readonly readSteady: () => number;
  /** Wall clock: includes suspended time, may be set. */
  readonly readTimeOfDay: () => number;
  /** Monotonic clock with suspended time. Expensive to read and not available on every platform. */
  readonly readBoot: () => number;
}

/** Clocks of this VM. */
export const VM_READINGS: TimeReadings = {
  readSteady: () => performance.now(),
  readTimeOfDay: () => Date.now(),
  readBoot: () => uptime() * 1_000,
};

/** Receives the events of a clock. Called during a reading of the clock, so it must not change other state. */
export type ClockEventListener = (
  event: 'suspended' | 'time-of-day-stepped' | 'boot-clock',
  fields: Readonly<Record<string, unknown>>,
) => void;

/** Whether the boot clock is trusted; `unknown` until enough samples were taken. */
type BootTrust = 'unknown' | 'trusted' | 'doubted';

/** Readings of all clocks at one time, ms. */
interface ClockSample {
  readonly steady: number;
  readonly timeOfDay: number;
  /** Undefined if the boot clock cannot be read. */
  readonly boot: number | undefined;
}

/**
 * Steady clock plus all suspended time. Each reading compares the wall clock with the steady clock. The boot
 * clock is sampled when the two drift apart, and every `SAMPLE_INTERVAL_MS`.
 *
 * If the boot clock is not trusted, each forward step of the wall clock counts as a suspension; while its trust
 * is unknown, a forward step of either clock does. A false suspension wastes work; a missed one may run a task
 * twice concurrently.
 */
export class BootClock extends Clock {
  private suspendedMs = 0;
  private lastSample: ClockSample;
  /** Time of creation, ms of the steady clock. */
  private readonly createdAt: number;
  private trust: BootTrust = 'unknown';
  /** Consecutive samples in which the boot clock was consistent with the steady clock. */
  private consistentSamples = 0;
  /** Consecutive samples in which only the boot clock was ahead of the steady clock. */
  private unconfirmedLeads = 0;

  /**
   * @param report - receives suspensions, steps of the wall clock and changes of trust
   * @param readings - clocks of the VM
   */
  constructor(
    private readonly report: ClockEventListener,
    private readonly readings = VM_READINGS,
  ) {
    super();
    this.lastSample = this.takeSample();
    this.createdAt = this.lastSample.steady;
  }

  override now(): number {
    const timeOfDay = this.readings.readTimeOfDay();
    const steady = this.readings.readSteady();
    const { lastSample } = this;
    const drift = timeOfDay - lastSample.timeOfDay - (steady - lastSample.steady);
    if (
      Math.abs(drift) <= DRIFT_TOLERANCE_MS &&
      steady - lastSample.steady < this.findSampleIntervalMs(steady)
    )
      return steady + this.suspendedMs;
    this.compareSamples(lastSample, this.takeSample());
    return this.readings.readSteady() + this.suspendedMs;
  }

  override readSteady(): number {
    return this.readings.readSteady();
  }

  override sleep(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
  }

  private findSampleIntervalMs(steady: number): number {
    const isStartup = this.trust === 'unknown' && steady - this.createdAt < STARTUP_MS;
    return isStartup ? STARTUP_SAMPLE_INTERVAL_MS : SAMPLE_INTERVAL_MS;
  }

  private get isBootTrusted(): boolean {
    return this.trust === 'trusted';
  }

  /** Reads all clocks within `MAX_SAMPLE_SPAN_MS`, if an attempt succeeds in that. */
  private takeSample(): ClockSample {
    const { readSteady, readTimeOfDay } = this.readings;
    for (let attempt = 1; ; attempt += 1) {
      const before = readSteady();
      const boot = this.readBoot();
      const timeOfDay = readTimeOfDay();
      const after = readSteady();
      if (after - before <= MAX_SAMPLE_SPAN_MS || attempt === MAX_SAMPLE_ATTEMPTS)
        return { steady: after, timeOfDay, boot };
    }
  }

  private readBoot(): number | undefined {
    try {
      return this.readings.readBoot();
    } catch {
      // Reported by `updateTrust`.
      return undefined;
    }
  }

  /** Compares two samples: adds a suspension between them, or reports a step of the wall clock. */
  private compareSamples(before: ClockSample, after: ClockSample): void {
    const dayDrift = findDrift(before, after, 'timeOfDay') ?? 0;
    const bootDrift = findDrift(before, after, 'boot');
    const wasUnknown = this.trust === 'unknown';
    const hasUnconfirmedLead = this.updateTrust(bootDrift, dayDrift, after.steady - before.steady);
    const trustedDrift = this.isBootTrusted || hasUnconfirmedLead ? (bootDrift ?? dayDrift) : dayDrift;
    const suspended = wasUnknown ? Math.max(bootDrift ?? 0, dayDrift) : trustedDrift;
    // A trusted boot clock drifts only by suspensions, so short ones may add up over several samples.
    const keepsBootBase = this.isBootTrusted && suspended <= DRIFT_TOLERANCE_MS && before.boot !== undefined;
    const boot = keepsBootBase ? before.boot + (after.steady - before.steady) : after.boot;
    this.lastSample = { ...after, boot };
    if (suspended > DRIFT_TOLERANCE_MS) this.addSuspended(suspended, dayDrift);
    else if (Math.abs(dayDrift) > DRIFT_TOLERANCE_MS)
      this.report('time-of-day-stepped', { ms: Math.round(dayDrift) });
  }

  /**
   * Updates the trust in the boot clock. It becomes trusted after `SAMPLES_TO_TRUST` consistent samples, and
   * doubted once it falls behind, cannot be read, or is repeatedly ahead without an equal step of the wall
   * clock.
   *
   * @returns true if the boot clock was trusted and only it is ahead, which counts as a suspension
   */
  private updateTrust(bootDrift: number | undefined, dayDrift: number, elapsedMs: number): boolean {
    const wasTrusted = this.isBootTrusted;
    if (bootDrift === undefined || bootDrift < -DRIFT_TOLERANCE_MS * 2) {
      this.setTrust('doubted', bootDrift);
      return false;
    }
    if (bootDrift <= DRIFT_TOLERANCE_MS) {
      this.unconfirmedLeads = 0;
      if (elapsedMs < SAMPLE_INTERVAL_MS) return false;
      this.consistentSamples += 1;
      if (this.consistentSamples >= SAMPLES_TO_TRUST) this.setTrust('trusted', bootDrift);
      return false;
    }
    if (Math.abs(bootDrift - dayDrift) <= DRIFT_TOLERANCE_MS) return false;
    this.unconfirmedLeads += 1;
    if (!wasTrusted || this.unconfirmedLeads >= UNCONFIRMED_LEADS_TO_DOUBT)
      this.setTrust('doubted', bootDrift);
    return wasTrusted;
  }

  private setTrust(trust: BootTrust, drift: number | undefined): void {
    if (trust === 'doubted') this.consistentSamples = 0;
    if (trust === this.trust) return;
    this.trust = trust;
    this.report('boot-clock', { trust, driftMs: drift === undefined ? 'unreadable' : Math.round(drift) });
  }

  private addSuspended(ms: number, dayDrift: number): void {
    this.suspendedMs += ms;
    this.report('suspended', {
      ms: Math.round(ms),
      timeOfDayMs: Math.round(dayDrift),
      bootClock: this.trust,
    });
  }
}

/** Computes the drift from the steady clock between two samples, ms; undefined if a reading is missing. */
function findDrift(before: ClockSample, after: ClockSample, clock: 'timeOfDay' | 'boot'): number | undefined {
  const from = before[clock];
  const to = after[clock];
  if (from === undefined || to === undefined) return undefined;
  return to - from - (after.steady - before.steady);
}
