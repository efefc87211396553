/** Collects the log lines of one job from several processes and derives why it ended as it did. */

/** A parsed log line. */
export interface LogLine {
  /** Ms since the epoch, by the monotonic clock of the process, anchored at its start. */
  readonly time: number;
  readonly process: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** The log lines of a job and the cause of its outcome. */
export interface JobExplanation {
  readonly lines: readonly LogLine[];
  readonly cause: string;
}

/** Fields that every log line has. */
const COMMON_FIELDS = new Set(['time', 'level', 'process', 'incarnation', 'event']);

/** Causes by the reason of a job's answer. */
const ANSWER_CAUSES: Readonly<Record<string, string>> = {
  'cannot-finish':
    'refused: no agent had free capacity in time to finish it before its deadline; none of its tasks were run',
  'no-room': 'refused: no agent had free capacity for it in time; none of its tasks were run',
  leaving: 'refused: the entry was shutting down; none of its tasks were run',
  paused: 'given up: the entry was paused for longer than the orphan timeout of agents',
  'entry-ends': 'given up: the entry shut down before the job was done',
  'caller-gone': 'given up: the caller closed its connection before the job was done',
  cancelled: 'given up: its caller cancelled it',
  'submitted-again': 'given up: the caller submitted the job to the entry again',
  attempts: 'failed: a task failed as often as its queue allows',
  crashes: 'failed: upstreams crashed while running one of its tasks',
};

/** Causes by the end or reason of an attempt, most significant first. */
const ATTEMPT_CAUSES: readonly (readonly [string, string])[] = [
  ['agent-silent', 'an agent was unresponsive for so long that its tasks counted as lost'],
  ['link-broke', 'a link broke or became unresponsive, and its tasks counted as lost'],
  ['entry-silent', 'an agent received no ping reply for so long that it stopped the tasks'],
  ['agent-replaced', 'an agent died and was replaced by a new incarnation'],
  ['upstream-crashed', 'an upstream crashed while running the task'],
  ['unreachable', 'an upstream did not answer until every lease had expired'],
  ['other-life', 'an upstream died and was replaced by a new incarnation'],
  ['lapsed', 'a lease expired: the agent did not renew it in time'],
  ['failed', 'tasks failed at their upstream'],
  ['stopped-by-entry', 'a task was stalled or slow and was moved'],
  ['domain-emptied', 'the failure domain was evacuated when the start arrived'],
  ['full', 'agents had no free capacity when the start arrived'],
  ['expired', 'starts expired before they were run'],
];

/**
 * Parses a log line. Text before the JSON, such as the prefix of a log collector, is ignored.
 *
 * @param text - the line
 * @returns the parsed line, or undefined if the text is not a log line of this project
 * @example
 * parseLogLine('{"time":1,"process":"a","event":"answer","job":"j"}')?.event; // 'answer'
 */
export function parseLogLine(text: string): LogLine | undefined {
  const at = text.indexOf('{');
  if (at < 0) return undefined;
  try {
    const value = JSON.parse(text.slice(at)) as Record<string, unknown>;
    const { time, process, event } = value;
    if (typeof time !== 'number' || typeof process !== 'string' || typeof event !== 'string')
      return undefined;
    const fields = Object.fromEntries(Object.entries(value).filter(([name]) => !COMMON_FIELDS.has(name)));
    return { time, process, event, fields };
  } catch {
    return undefined;
  }
}

/**
 * Explains the outcome of a job.
 *
 * @param job - the job's id
 * @param lines - lines of any processes, in any order
 * @returns the job's lines in chronological order, and the cause of its outcome
 */
export function explainJob(job: string, lines: readonly LogLine[]): JobExplanation {
  const jobLines = lines
    .filter((line) => belongsToJob(line, job))
    .sort((left, right) => left.time - right.time);
  return { lines: jobLines, cause: findCause(jobLines) };
}

function belongsToJob({ fields }: LogLine, job: string): boolean {
  return fields['job'] === job || String(fields['task'] ?? '').startsWith(`${job}/`);
}

function findCause(lines: readonly LogLine[]): string {
  const outcome = findOutcomeCause(lines);
  const started = describeStartsAfterCancel(lines);
  return started === undefined ? outcome : `${outcome}; ${started}`;
}

/** Describes the starts of a cancelled job after its first cancelling; undefined if there are none. */
function describeStartsAfterCancel(lines: readonly LogLine[]): string | undefined {
  const cancel = lines.find(({ event }) => event === 'cancel');
  if (!cancel) return undefined;
  const starts = lines.filter(({ event, time }) => event === 'place' && time > cancel.time);
  const processes = [...new Set(starts.map(({ process }) => process))].join(', ');
  if (starts.length === 0) return undefined;
  const adopted = lines.some(({ event }) => event === 'cancel-adopted');
  const heard = adopted ? 'heard of it later' : 'had not heard of it';
  return `cancelled at ${cancel.process}, and ${starts.length} starts were sent after that by ${processes}, which ${heard}`;
}

function findOutcomeCause(lines: readonly LogLine[]): string {
  const answer = lines.filter(({ event }) => event === 'answer' || event === 'reject').at(-1);
  if (lines.length === 0) return 'no log line names this job: it reached none of these processes';
  const refusal = lines.filter(({ event }) => event === 'refuse').at(-1);
  if (!answer && refusal) return `refused: ${String(refusal.fields['reason'])}`;
  if (!answer) return 'no answer is logged: the entry died or was disconnected while the job was open';
  const { kind, reason, tookMs, objectiveMs } = answer.fields;
  if (answer.event === 'reject') return `rejected: ${String(reason)}`;
  const answerCause = ANSWER_CAUSES[String(reason)];
  const attemptCause = findAttemptCause(lines);
  if (kind === 'completed') {
    if (Number(tookMs) <= Number(objectiveMs)) return 'completed in time';
    return `late by ${Number(tookMs) - Number(objectiveMs)} ms: ${attemptCause ?? describeWait(lines)}`;
  }
  const summary = answerCause ?? `given up: ${String(reason)}`;
  return attemptCause === undefined ? summary : `${summary}; before that, ${attemptCause}`;
}

function findAttemptCause(lines: readonly LogLine[]): string | undefined {
  const reasons = new Set(lines.flatMap(({ fields }) => [String(fields['reason']), String(fields['end'])]));
  return ATTEMPT_CAUSES.find(([reason]) => reasons.has(reason))?.[1];
}

function describeWait(lines: readonly LogLine[]): string {
  const waits = lines
    .filter(({ event }) => event === 'place')
    .map(({ fields }) => Number(fields['waitedMs']));
  const longest = Math.max(0, ...waits);
  return longest > 20
    ? `its last task waited ${longest} ms for free capacity`
    : 'its tasks ran slower than estimated';
}
