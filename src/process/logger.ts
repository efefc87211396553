/** Structured logs, one JSON line per event, written in batches. */
import loglevel from 'loglevel';
import type { Logger, LogLevelDesc } from 'loglevel';

import { readClock } from '../_lib/readClock.js';

/** Longest time that a line is buffered, ms. */
const FLUSH_MS = 50;
/** Number of buffered lines that are written without waiting. */
const FLUSH_LINES = 2_000;

/** Fields of a log line besides time, level, process, incarnation and event. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes log lines for one process. */
export interface ProcessLogger {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
  /** Writes the buffered lines. */
  flush(): void;
}

/** Destination of batches of log lines; standard output for the daemons. */
export type LineSink = (text: string) => void;

/**
 * Creates the logger of a process.
 *
 * @param peer - `id@incarnation`, which becomes two fields of each line
 * @param level - lowest level that is written
 * @param sink - destination of the lines
 * @returns the logger
 * @example
 * createLogger('entry-1@a', 'info').info('started', { port: 7420 });
 */
export function createLogger(
  peer: string,
  level: LogLevelDesc,
  sink: LineSink = (text) => process.stdout.write(text),
): ProcessLogger {
  const at = peer.lastIndexOf('@');
  const prefix = `"process":${JSON.stringify(peer.slice(0, at))},"incarnation":${JSON.stringify(peer.slice(at + 1))}`;
  const buffer: string[] = [];
  let timer: NodeJS.Timeout | undefined;
  const flush = (): void => {
    clearTimeout(timer);
    timer = undefined;
    if (buffer.length > 0) sink(buffer.splice(0).join(''));
  };
  const write = (levelName: string, event: string, fields: LogFields | undefined): void => {
    const rest = fields ? JSON.stringify(fields).slice(1, -1) : '';
    const time = readClock().toFixed(3);
    const head = `{"time":${time},"level":"${levelName}",${prefix},"event":"${event}"`;
    buffer.push(rest === '' ? `${head}}\n` : `${head},${rest}}\n`);
    if (buffer.length >= FLUSH_LINES) return flush();
    timer ??= setTimeout(flush, FLUSH_MS).unref();
  };
  const logger = createLevelLogger(peer, level, write);
  return {
    debug: (event, fields) => logger.debug(event, fields),
    info: (event, fields) => logger.info(event, fields),
    warn: (event, fields) => logger.warn(event, fields),
    error: (event, fields) => logger.error(event, fields),
    flush,
  };
}

function createLevelLogger(
  peer: string,
  level: LogLevelDesc,
  write: (level: string, event: string, fields: LogFields | undefined) => void,
): Logger {
  const logger = loglevel.getLogger(peer);
  logger.methodFactory = (name) => (event: string, fields?: LogFields) => write(name, event, fields);
  logger.setLevel(level, false);
  return logger;
}
