/** TCP proxy on loopback that can delay, throttle, stall, reset or silence connections. */
import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { performance } from 'node:perf_hooks';

/** Mode of one direction. `hold`: bytes wait until the mode is `pass` again. */
export type DirectionMode = 'pass' | 'hold';

/** Direction: `forth` from client to server, `back` from server to client. */
export type Direction = 'forth' | 'back';

/** Delays the writes of one direction of a connection and keeps their order. */
class DelayLine {
  private readonly waiting: { readonly at: number; readonly run: () => void }[] = [];
  private timer: NodeJS.Timeout | undefined;

  /** @param takesMs - transmission time, added after the previous item */
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

/** Transmission time of one slice of bytes on a throttled proxy, ms. */
const SLICE_MS = 10;

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
  /** Whether it carries nothing any more, not even a close. */
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
   * @param targetHost - address of the target
   */
  constructor(
    private readonly host: string,
    private readonly port: number,
    private readonly targetHost: string,
    private readonly targetPort = port,
  ) {}

  /** Starts listening and returns the port. */
  start(): Promise<number> {
    const server = createServer((near) => this.accept(near));
    this.server = server;
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.port, this.host, () => resolve((server.address() as { port: number }).port));
    });
  }

  /** Stalls or resumes a direction. */
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

  /** Limits each direction of a connection to a bandwidth, Mbit/s. */
  setRate(mbps: number): void {
    this.bytesPerMs = (mbps * 1_000) / 8;
  }

  /** Resets all connections and drops their pending bytes. */
  resetAll(): void {
    for (const { near, far } of [...this.pairs]) {
      near.resetAndDestroy();
      far.resetAndDestroy();
    }
  }

  /** Silences all open connections without a reset; new ones work. */
  silenceConnections(): void {
    for (const pair of this.pairs) {
      pair.isSilent = true;
      pair.near.pause();
      pair.far.pause();
    }
  }

  /** Stops listening and closes all connections. */
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
