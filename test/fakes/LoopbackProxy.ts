/** A TCP proxy on loopback that delays, slows down, holds up, resets or silences what passes. */
import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { performance } from 'node:perf_hooks';

/** What happens to bytes of one direction. `hold`: they wait until the direction passes again, as behind a cut. */
export type DirectionMode = 'pass' | 'hold';

/** A direction: from who dials to who listens, or back. */
export type Direction = 'forth' | 'back';

/** Runs what passes one direction of a connection in order, each at its time. */
class DelayLine {
  private readonly waiting: { readonly at: number; readonly run: () => void }[] = [];
  private timer: NodeJS.Timeout | undefined;

  /** @param takesMs - time that it takes itself, behind what is before it */
  add(delayMs: number, run: () => void, takesMs = 0): void {
    if (delayMs === 0 && takesMs === 0 && this.waiting.length === 0) return run();
    const last = this.waiting.at(-1)?.at ?? 0;
    this.waiting.push({ at: Math.max(last, performance.now() + delayMs) + takesMs, run });
    this.schedule();
  }

  private schedule(): void {
    const next = this.waiting[0];
    if (!next || this.timer) return;
    this.timer = setTimeout(() => this.flush(), Math.max(0, next.at - performance.now()));
  }

  private flush(): void {
    this.timer = undefined;
    while (this.waiting[0] && this.waiting[0].at <= performance.now()) this.waiting.shift()?.run();
    this.schedule();
  }
}

/** Parts in which bytes pass a slow proxy, ms. */
const SLICE_MS = 10;

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
  /** Carries nothing any more, not even its end. */
  isSilent: boolean;
}

/** Proxy in front of one listener. */
export class LoopbackProxy {
  private readonly modes: Record<Direction, DirectionMode> = { forth: 'pass', back: 'pass' };
  private delayMs = 0;
  private bytesPerMs = Infinity;
  private readonly pairs = new Set<Pair>();
  private server: Server | undefined;

  /**
   * @param host - address to listen at
   * @param port - port to listen at, and that of the target
   * @param targetHost - address of the listener behind
   */
  constructor(
    private readonly host: string,
    private readonly port: number,
    private readonly targetHost: string,
    private readonly targetPort = port,
  ) {}

  /** Starts to listen and returns the port. */
  start(): Promise<number> {
    const server = createServer((near) => this.accept(near));
    this.server = server;
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.port, this.host, () => resolve((server.address() as { port: number }).port));
    });
  }

  /** Holds up a direction, or lets it pass again. */
  setMode(direction: Direction, mode: DirectionMode): void {
    this.modes[direction] = mode;
    for (const { near, far, isSilent } of this.pairs) {
      if (isSilent) continue;
      const source = direction === 'forth' ? near : far;
      if (mode === 'hold') source.pause();
      else source.resume();
    }
  }

  /** Delays all bytes; 0 for no delay. */
  setDelay(ms: number): void {
    this.delayMs = ms;
  }

  /** Has each direction of a connection carry so many Mbit/s at most. */
  setRate(mbps: number): void {
    this.bytesPerMs = (mbps * 1_000) / 8;
  }

  /** Resets all connections; what was held up on them is lost. */
  resetAll(): void {
    for (const { near, far } of [...this.pairs]) {
      near.resetAndDestroy();
      far.resetAndDestroy();
    }
  }

  /** Has all open connections carry nothing any more, without a reset; new ones work. */
  silenceConnections(): void {
    for (const pair of this.pairs) {
      pair.isSilent = true;
      pair.near.pause();
      pair.far.pause();
    }
  }

  /** Ends everything. */
  stop(): void {
    this.server?.close();
    for (const { near, far } of this.pairs) {
      near.destroy();
      far.destroy();
    }
  }

  private accept(near: Socket): void {
    const far = connect({ host: this.targetHost, port: this.targetPort });
    const pair = { near, far, isSilent: false };
    this.pairs.add(pair);
    this.pipe(near, far, 'forth', pair);
    this.pipe(far, near, 'back', pair);
  }

  private split(bytes: Buffer): Buffer[] {
    const length = Math.ceil(Math.min(bytes.length, this.bytesPerMs * SLICE_MS));
    const count = Math.ceil(bytes.length / length);
    return Array.from({ length: count }, (_, at) => bytes.subarray(at * length, (at + 1) * length));
  }

  private pipe(source: Socket, sink: Socket, direction: Direction, pair: Pair): void {
    source.setNoDelay(true);
    if (this.modes[direction] === 'hold') source.pause();
    const line = new DelayLine();
    source.on('data', (bytes: Buffer) => {
      for (const part of this.split(bytes)) {
        const write = (): void => {
          if (!sink.destroyed && !pair.isSilent) sink.write(part);
        };
        line.add(this.delayMs, write, part.length / this.bytesPerMs);
      }
    });
    source.on('error', () => undefined);
    source.on('close', () => {
      if (!pair.isSilent) this.pairs.delete(pair);
      if (!pair.isSilent) line.add(this.delayMs, () => sink.destroy());
    });
  }
}
