/** Puts the log lines of one job, from several processes, in order and names the cause they show. */

/** A log line. */
export interface LogLine {
  /** Ms since the epoch by the clock of its process at its start. */
  readonly time: number;
  readonly process: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** What is known of a job. */
export interface JobExplanation {
  readonly lines: readonly LogLine[];
  readonly cause: string;
}

/** Fields that stand before the event in every line. */
const HEAD_FIELDS = new Set(['time', 'level', 'process', 'incarnation', 'event']);

const CAUSES: Readonly<Record<string, string>> = {
  'cannot-finish':
    'refused: no agent had room in time to finish it before its deadline; nothing of it has run',
  'no-room': 'refused: no agent had room for it in time; nothing of it has run',
  leaving: 'refused: the entry was stopping as planned; nothing of it has run',
  paused: 'given up: the entry stood still for longer than agents wait for it',
  'entry-ends': 'given up: the entry ended before the job did',
  'caller-gone': 'given up: the caller closed its connection before the job was done',
  'submitted-again': 'given up: the caller submitted the job again here',
  attempts: 'failed: a task failed as often as its queue allows',
  crashes: 'failed: upstreams crashed while running one of its tasks',
};

/** Ends of attempts in order of what explains most. */
const END_CAUSES: readonly (readonly [string, string])[] = [
  ['agent-silent', 'an agent was not heard for so long that its tasks counted as lost'],
  ['link-broke', 'a link broke or went silent, and what it had carried was sent again'],
  ['entry-silent', 'an agent heard no echo for so long that it stopped the tasks'],
  ['agent-replaced', 'an agent died and another life of it took its place'],
  ['upstream-crashed', 'an upstream crashed while running the task'],
  ['unreachable', 'an upstream did not answer until every lease was over'],
  ['other-life', 'an upstream died and another life of it took its place'],
  ['lapsed', 'a lease ran out: the agent did not renew it in time'],
  ['failed', 'tasks failed at their upstream'],
  ['stopped-by-entry', 'a task stood still or crawled and was moved'],
  ['domain-emptied', 'the operators had emptied the failure domain when the start arrived'],
  ['full', 'agents had no room when the start arrived'],
  ['expired', 'starts were too long on their way'],
];

/**
 * Parses a line of a log. Text before the JSON, as some collectors add, is passed over.
 *
 * @param text - the line
 * @returns the line, or undefined if it is none of ours
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
    const fields = Object.fromEntries(Object.entries(value).filter(([name]) => !HEAD_FIELDS.has(name)));
    return { time, process, event, fields };
  } catch {
    return undefined;
  }
}

/**
 * Explains how a job ended.
 *
 * @param job - its id
 * @param lines - lines of any processes, in any order
 * @returns the job's lines in order of time, and the cause
 */
export function explainJob(job: string, lines: readonly LogLine[]): JobExplanation {
  const own = lines.filter((line) => isAbout(line, job)).sort((left, right) => left.time - right.time);
  return { lines: own, cause: findCause(own) };
}

function isAbout({ fields }: LogLine, job: string): boolean {
  return fields['job'] === job || String(fields['task'] ?? '').startsWith(`${job}/`);
}

function findCause(lines: readonly LogLine[]): string {
  const answer = lines.filter(({ event }) => event === 'answer' || event === 'reject').at(-1);
  if (lines.length === 0) return 'no line names this job: it reached none of these processes';
  if (!answer) return 'no answer is logged: the entry died or was cut off while the job was open';
  const { kind, reason, tookMs, objectiveMs } = answer.fields;
  if (answer.event === 'reject') return `not taken: ${String(reason)}`;
  const known = CAUSES[String(reason)];
  const trouble = findTrouble(lines);
  if (kind === 'completed') {
    if (Number(tookMs) <= Number(objectiveMs)) return 'completed in time';
    return `late by ${Number(tookMs) - Number(objectiveMs)} ms: ${trouble ?? describeWait(lines)}`;
  }
  const head = known ?? `given up: ${String(reason)}`;
  return trouble === undefined ? head : `${head}; before that, ${trouble}`;
}

function findTrouble(lines: readonly LogLine[]): string | undefined {
  const reasons = new Set(lines.flatMap(({ fields }) => [String(fields['reason']), String(fields['end'])]));
  return END_CAUSES.find(([reason]) => reasons.has(reason))?.[1];
}

function describeWait(lines: readonly LogLine[]): string {
  const waits = lines
    .filter(({ event }) => event === 'place')
    .map(({ fields }) => Number(fields['waitedMs']));
  const longest = Math.max(0, ...waits);
  return longest > 20 ? `its last task waited ${longest} ms for room` : 'its tasks ran slower than estimated';
}
