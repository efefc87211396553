/**
 * Starts of one job that go to one agent in one turn travel as one message: the job's text, which is most of a start's
 * bytes (some 1.2 KB of 1.5), is sent once for all of them.
 */
import type { PeerMessage, StartBatch, StartOrder, WireMessage } from './peerMessages.js';

/**
 * Merges the starts among the messages of a turn. A start keeps its place before all messages that come after it.
 *
 * @param messages - in the order in which they were sent
 * @returns the messages to write; a start that has no fellow stays as it is
 * @example
 * mergeStarts([startA1, ping, startA2]); // [batch of startA1 and startA2, ping]
 */
export function mergeStarts(messages: readonly PeerMessage[]): WireMessage[] {
  const groups: StartOrder[][] = [];
  const slots: (PeerMessage | StartOrder[])[] = [];
  for (const message of messages) {
    if (message.type !== 'start') {
      // A stop must not overtake, or be overtaken by, a start of its task.
      if (message.type === 'stop') groups.length = 0;
      slots.push(message);
      continue;
    }
    const group = groups.find(([first]) => first !== undefined && canMerge(first, message));
    if (group) {
      group.push(message);
      continue;
    }
    const opened = [message];
    groups.push(opened);
    slots.push(opened);
  }
  return slots.map((slot) => (Array.isArray(slot) ? buildBatch(slot) : slot));
}

/**
 * Lists the starts of a batch.
 *
 * @param batch - as received
 * @returns a start for each of its tasks
 */
export function listStarts({ job, tasks, service, spec, rank, expiresAt }: StartBatch): StartOrder[] {
  return tasks.map(({ step, index, attempt, resources, estimateMs }) => {
    const name = { job, step, index, attempt };
    return { type: 'start', name, service, spec, resources, estimateMs, rank, expiresAt };
  });
}

/** A suspect travels alone: a batch does not tell that a task is one. */
function canMerge(first: StartOrder, other: StartOrder): boolean {
  return (
    first.name.job === other.name.job &&
    first.service === other.service &&
    first.spec === other.spec &&
    first.rank === other.rank &&
    first.expiresAt === other.expiresAt &&
    first.isSuspect !== true &&
    other.isSuspect !== true
  );
}

function buildBatch(starts: readonly StartOrder[]): WireMessage {
  const [first] = starts as [StartOrder];
  if (starts.length === 1) return first;
  const { service, spec, rank, expiresAt } = first;
  const tasks = starts.map(({ name: { step, index, attempt }, resources, estimateMs }) => {
    return { step, index, attempt, resources, estimateMs };
  });
  return { type: 'starts', job: first.name.job, service, spec, rank, expiresAt, tasks };
}
