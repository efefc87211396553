import { Ajv } from 'ajv';
import { validate as isUuid, version as readUuidVersion } from 'uuid';

import { listFindings } from '../_lib/finding.js';
import type { Finding } from '../_lib/finding.js';
import type { ConfigState } from '../version/configState.js';
import type { JobRequest } from './job.js';

/** Most tasks of a job. */
export const MAX_TASKS = 1_800;
/** Longest job key, characters. */
export const MAX_KEY_LENGTH = 128;

const SCHEMA = {
  type: 'object',
  additionalProperties: false,
  required: ['job', 'event', 'tasks'],
  properties: {
    job: { type: 'string', minLength: 1, maxLength: MAX_KEY_LENGTH },
    createdAt: { type: 'number', minimum: 0 },
    event: { type: 'string', minLength: 1, maxLength: 128 },
    deadlineMs: { type: 'number', exclusiveMinimum: 0, maximum: 3_600_000 },
    tasks: {
      type: 'array',
      minItems: 1,
      maxItems: MAX_TASKS,
      items: {
        type: 'object',
        additionalProperties: false,
        required: ['kind', 'body'],
        properties: { kind: { type: 'string', minLength: 1, maxLength: 128 }, body: {} },
      },
    },
  },
} as const;

const validate = new Ajv({ allErrors: true }).compile(SCHEMA);

interface RawRequest {
  readonly job: string;
  readonly createdAt?: number;
  readonly event: string;
  readonly deadlineMs?: number;
  readonly tasks: readonly { readonly kind: string; readonly body: unknown }[];
}

/** Context of a check. */
export interface RequestContext {
  readonly config: ConfigState;
  /** Ms since the epoch. */
  readonly now: number;
  /** Largest difference between two clocks, ms. */
  readonly skewMs: number;
  readonly caller: string;
  readonly team: string;
}

/** Checked submission, or the list of findings. */
export type RequestCheck =
  | { readonly ok: true; readonly request: JobRequest }
  | { readonly ok: false; readonly findings: readonly Finding[] };

/**
 * Checks a submission: its schema, creation time, event and task kinds.
 *
 * @param input - the parsed JSON
 * @param context - configuration, time and caller
 * @returns the submission, or all findings with their JSON pointers
 * @example
 * checkJobRequest({}, context); // { ok: false, findings: [{ pointer: '/job', message: 'is missing' }, ...] }
 */
export function checkJobRequest(input: unknown, context: RequestContext): RequestCheck {
  if (!validate(input)) return { ok: false, findings: listFindings(validate.errors) };
  const raw = input as unknown as RawRequest;
  const createdAt = raw.createdAt ?? readUuidTime(raw.job);
  const findings = [...checkAge(createdAt, context), ...checkKinds(raw, context.config)];
  if (findings.length > 0 || createdAt === undefined) return { ok: false, findings };
  const tasks = raw.tasks.map(({ kind, body }) => ({ kind, body: JSON.stringify(body) }));
  const { job, event, deadlineMs } = raw;
  const { caller, team } = context;
  return { ok: true, request: { job, createdAt, event, deadlineMs, tasks, caller, team } };
}

/** Reads the creation time from a UUIDv7, ms since the epoch; undefined for other keys. */
function readUuidTime(key: string): number | undefined {
  if (!isUuid(key) || readUuidVersion(key) !== 7) return undefined;
  return Number.parseInt(key.replaceAll('-', '').slice(0, 12), 16);
}

function checkAge(createdAt: number | undefined, context: RequestContext): Finding[] {
  if (createdAt === undefined)
    return [{ pointer: '/createdAt', message: 'is missing, and /job is not a UUIDv7' }];
  const aheadMs = Math.round(createdAt - context.now);
  if (aheadMs <= context.skewMs) return [];
  return [
    { pointer: '/createdAt', message: `is ${aheadMs} ms in the future, more than ${context.skewMs} ms` },
  ];
}

function checkKinds(raw: RawRequest, config: ConfigState): Finding[] {
  const event = config.events.find((one) => one.name === raw.event);
  if (!event) return [{ pointer: '/event', message: `is not a known event` }];
  const known = new Set(event.kinds.map((kind) => kind.name));
  return raw.tasks.flatMap(({ kind }, index) => {
    if (known.has(kind)) return [];
    return [{ pointer: `/tasks/${index}/kind`, message: `is not a kind of ${event.name}` }];
  });
}
