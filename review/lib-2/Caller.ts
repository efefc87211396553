/** A client of the system: keeps one connection to a dispatcher, as the platform's balancer has placed it. */
import { Agent, request as sendRequest } from 'node:http';

import { HOST, PREFIX } from './Deployment.js';

/** Answer to a client; status 0 if the connection ended without a complete one. */
export interface Answer {
  readonly status: number;
  readonly body: string;
  /** Whether the server closes the connection after it. */
  readonly closes: boolean;
}

const NO_ANSWER: Answer = { status: 0, body: '', closes: true };

/** A step of a job on the wire. */
export interface Step {
  readonly count: number;
  readonly cpu: number;
  readonly mem_mb: number;
  readonly estimate_ms: number;
  readonly after?: readonly number[];
  readonly requirements?: string;
}

/** Client with one connection. */
export class Caller {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 1 });

  constructor(private readonly front: { readonly host: string; readonly port: number }) {}

  /** Submits a job that need not be kept; each of its tasks works for `workMs`. */
  submit(id: string, workMs: number, steps: readonly Step[], deadlineMs: number): Promise<Answer> {
    const body = JSON.stringify({ spec: String(workMs), steps, best_effort: true });
    return this.send('POST', PREFIX + id, body, deadlineMs);
  }

  /** Cancels a job. */
  cancel(id: string, deadlineMs: number): Promise<Answer> {
    return this.send('DELETE', PREFIX + id, '', deadlineMs);
  }

  /** Asks for the number of pending jobs, which opens the connection. */
  countPending(): Promise<Answer> {
    return this.send('GET', PREFIX, '', 1_500);
  }

  /** Closes the connection. */
  close(): void {
    this.agent.destroy();
  }

  private send(method: string, path: string, body: string, deadlineMs: number): Promise<Answer> {
    const headers: Record<string, string> = { host: HOST, 'x-marblehall-deadline-ms': String(deadlineMs) };
    if (body !== '') headers['content-type'] = 'application/json';
    if (body !== '') headers['content-length'] = String(Buffer.byteLength(body));
    return new Promise((resolve) => {
      const outgoing = sendRequest(
        { ...this.front, agent: this.agent, method, path, headers },
        (incoming) => {
          let text = '';
          incoming.setEncoding('utf8');
          incoming.on('data', (part: string) => (text += part));
          incoming.on('error', () => resolve(NO_ANSWER));
          incoming.on('end', () => {
            const closes = incoming.headers.connection === 'close';
            resolve(incoming.complete ? { status: incoming.statusCode ?? 0, body: text, closes } : NO_ANSWER);
          });
        },
      );
      const timer = setTimeout(() => outgoing.destroy(), deadlineMs);
      outgoing.on('error', () => resolve(NO_ANSWER));
      outgoing.on('close', () => clearTimeout(timer));
      outgoing.end(body);
    });
  }
}
