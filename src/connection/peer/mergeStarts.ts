/**
 * Merges the starts of a job that are sent to one executor in one turn into one message, so that the job's
 * `spec`, most of a start's bytes, is sent once.
 */
import type { PeerMessage, StartBatch, StartOrder, WireMessage } from './peerMessages.js';

/** Most starts in one message, so that its length is bounded. */
const MAX_BATCH_STARTS = 500;

/**
 * Merges starts among the messages of a turn. No start is moved behind a later message.
 *
 * @param messages - messages in the order of sending
 * @returns the messages to write; a start that merges with no other stays as it is
 * @example
 * mergeStarts([startA1, ping, startA2]); // [batch of startA1 and startA2, ping]
 */
export function mergeStarts(messages: readonly PeerMessage[]): WireMessage[] {
  const groups: StartOrder[][] = [];
  const slots: (PeerMessage | StartOrder[])[] = [];
  for (const message of messages) {
    if (message.type !== 'start') {
      // Keeps the order of a stop and the starts of its task.
      if (message.type === 'stop') groups.length = 0;
      slots.push(message);
      continue;
    }
    const group = groups.find((starts) => canJoin(starts, message));
    if (group) {
      group.push(message);
      continue;
    }
    const newGroup = [message];
    groups.push(newGroup);
    slots.push(newGroup);
  }
  return slots.map((slot) => (Array.isArray(slot) ? buildBatch(slot) : slot));
}

/**
 * Lists the starts of a batch.
 *
 * @param batch - received batch
 * @returns a start for each of its tasks
 */
export function listStarts({ job, tasks, service, spec, rank, expiresAt }: StartBatch): StartOrder[] {
  return tasks.map(({ step, index, attempt, resources, estimateMs }) => {
    const name = { job, step, index, attempt };
    return { type: 'start', name, service, spec, resources, estimateMs, rank, expiresAt };
  });
}

function canJoin(starts: readonly StartOrder[], start: StartOrder): boolean {
  const [first] = starts;
  return first !== undefined && starts.length < MAX_BATCH_STARTS && canMerge(first, start);
}

/** Suspect tasks are sent separately, since a batch has no `isSuspect` field. */
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
