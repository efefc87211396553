/**
 * What a dispatcher tells the others of its jobs, on the links that it dials and on those that it accepts: suspect tasks,
 * since callers may submit a job again at any of them, and cancelled jobs, since callers may cancel a job at any of them.
 * Some executors keep the cancelled jobs for dispatchers that restart.
 */
import type { Timeline } from '../../_lib/Timeline.js';
import type { CancelNotice, PeerMessage, SuspectTask } from '../../connection/peer/peerMessages.js';
import type { PeerChannel } from '../VersionExchange.js';
import { CancellationExchange } from '../CancellationExchange.js';
import type { Dispatcher } from './Dispatcher.js';

/** Executors that keep cancelled jobs. */
const KEEPERS = 2;

/** Handlers of a dispatcher process. */
export interface NoticeEvents {
  /** Applies an input to the dispatcher once pending input has been read. */
  readonly applyInput: (input: (now: number) => void) => void;
  readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void;
}

/** Notices of one dispatcher. */
export class DispatcherNotices {
  private readonly channels = new Set<PeerChannel>();
  /** Links to executors, and those that keep cancelled jobs. */
  private readonly executors = new Set<PeerChannel>();
  private readonly keepers = new Set<PeerChannel>();
  private readonly cancellations: CancellationExchange;

  constructor(
    private readonly dispatcher: Dispatcher,
    private readonly timeline: Timeline,
    private readonly events: NoticeEvents,
  ) {
    this.cancellations = new CancellationExchange(dispatcher.cancelled, timeline, events.log);
  }

  /** Sends on a new link what the other dispatcher may not know: it may have been restarted or cut off. */
  open(channel: PeerChannel): void {
    this.channels.add(channel);
    const tasks = this.dispatcher.suspects.list();
    if (tasks.length > 0) channel.send({ type: 'suspects', tasks });
    this.cancellations.open(channel);
  }

  /** Handles an opened link to an executor. */
  openExecutor(channel: PeerChannel): void {
    this.executors.add(channel);
    this.chooseKeepers();
  }

  /** Handles a closed link. */
  close(channel: PeerChannel): void {
    this.channels.delete(channel);
    this.executors.delete(channel);
    this.cancellations.close(channel);
    if (this.keepers.delete(channel)) this.chooseKeepers();
  }

  /** Handles a notice of another dispatcher; returns false for other messages. */
  receive(message: PeerMessage, from: PeerChannel): boolean {
    if (message.type === 'suspects') this.adoptSuspects(message.tasks);
    else if (message.type === 'cancelled') this.adoptCancelled(message, from);
    else return false;
    return true;
  }

  /** Sends crash counts of tasks to all dispatchers. */
  sendSuspects(tasks: readonly SuspectTask[]): void {
    if (tasks.length === 0) return;
    for (const channel of this.channels) channel.send({ type: 'suspects', tasks });
  }

  /** Sends a job that a caller has cancelled here to all dispatchers. */
  sendCancelled(job: string): void {
    this.cancellations.send(job);
  }

  private adoptSuspects(tasks: readonly SuspectTask[]): void {
    this.events.applyInput((now) => this.sendSuspects(this.dispatcher.adoptSuspects(tasks, now)));
  }

  /** Cancels jobs that are cancelled at other dispatchers. */
  private adoptCancelled(notice: CancelNotice, from: PeerChannel): void {
    const now = this.timeline.now();
    for (const { job, ageMs } of this.cancellations.receive(notice, from))
      if (this.dispatcher.cancel(job, now, ageMs)) this.events.log('cancel-adopted', { job, ageMs });
  }

  private chooseKeepers(): void {
    for (const channel of this.executors) {
      if (this.keepers.size >= KEEPERS) return;
      if (this.keepers.has(channel)) continue;
      this.keepers.add(channel);
      this.cancellations.open(channel);
    }
  }
}
