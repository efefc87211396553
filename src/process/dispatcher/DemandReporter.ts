/** What a dispatcher tells executors of its waiting tasks, in pongs and in notices between them. */
import type { DemandNotice, Ping, Pong } from '../../connection/peer/peerMessages.js';
import type { ReportedVersions } from '../OperatorExchange.js';
import { roundSpeed } from '../roundSpeed.js';
import type { PeerChannel } from '../VersionExchange.js';
import type { Dispatcher } from './Dispatcher.js';

/** Reports the demand of one dispatcher. */
export class DemandReporter {
  /** Links on which a pong has reported the demand; later pongs omit it while no task waits. */
  private readonly reportedTo = new WeakSet<PeerChannel>();
  private noticedAt = -Infinity;

  /**
   * @param dispatcher - the dispatcher
   * @param pingMs - ping interval of executors, ms
   */
  constructor(
    private readonly dispatcher: Pick<Dispatcher, 'typicalSpeed' | 'waitingTasks' | 'waitingCpuMilli'>,
    private readonly pingMs: number,
  ) {}

  /** Builds the reply to a ping on a link. */
  buildPong(
    channel: PeerChannel,
    { at }: Pick<Ping, 'at'>,
    versions: ReportedVersions,
    lagMs: number | undefined,
  ): Pong {
    const isWaiting = this.dispatcher.waitingTasks > 0;
    const needsDemand = isWaiting || !this.reportedTo.has(channel);
    this.reportedTo.add(channel);
    const typicalSpeed = roundSpeed(this.dispatcher.typicalSpeed);
    const waitingCpuMilli = needsDemand ? this.dispatcher.waitingCpuMilli : undefined;
    return { type: 'pong', at, ...versions, typicalSpeed, isWaiting, waitingCpuMilli, lagMs };
  }

  /** Builds a notice that tasks wait, once a ping interval; pongs repeat it. */
  takeNotice(now: number): DemandNotice | undefined {
    if (this.dispatcher.waitingTasks === 0 || now - this.noticedAt < this.pingMs) return undefined;
    this.noticedAt = now;
    return { type: 'demand', waitingCpuMilli: this.dispatcher.waitingCpuMilli };
  }
}
