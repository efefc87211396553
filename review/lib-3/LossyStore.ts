/** The project's stand-in of the store, which can leave writes unanswered and carry them out seconds later. */
import type { ServerResponse } from 'node:http';
import { setTimeout } from 'node:timers';

import { StoreStandin } from '../../standins/protocol/StoreStandin.js';
import type { StandinRequest } from '../../standins/StandinServer.js';

const APPEND_PATH = '/api/log-append';
/** Range of the delays of late writes, ms. */
const SHORTEST_MS = 1_000;
const LONGEST_MS = 6_000;

/** Store that loses answers to writes. */
export class LossyStore extends StoreStandin {
  /** Share of the writes that get no answer and are carried out late. */
  lateShare = 0;
  /** Called when a write is carried out: its body, and by how much it is late, ms. */
  reportWrite: (text: string, lateMs: number) => void = () => undefined;

  protected override async handle(request: StandinRequest, response: ServerResponse): Promise<void> {
    if (request.url.pathname !== APPEND_PATH) return super.handle(request, response);
    if (Math.random() >= this.lateShare) return this.write(request, response, 0);
    const lateMs = SHORTEST_MS + Math.random() * (LONGEST_MS - SHORTEST_MS);
    setTimeout(() => void this.write(request, response, lateMs), lateMs);
  }

  private write(request: StandinRequest, response: ServerResponse, lateMs: number): Promise<void> {
    this.reportWrite(request.text, Math.round(lateMs));
    return super.handle(request, response);
  }
}
