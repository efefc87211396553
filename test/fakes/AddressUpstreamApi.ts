/** Orders to an address, where lives of an upstream follow each other under one id. */
import { UpstreamApi } from '../../src/ports/UpstreamApi.js';
import type {
  LeaseAnswer,
  LeaseRenewal,
  OrderAnswer,
  RunName,
  RunStart,
  StartVerdict,
  StopVerdict,
} from '../../src/ports/UpstreamApi.js';
import type { FakeUpstream } from './FakeUpstream.js';

/** Each order reaches the life that is there when it is sent. */
export class AddressUpstreamApi extends UpstreamApi {
  /** @param findIncarnation - the life that is there now */
  constructor(private readonly findIncarnation: () => FakeUpstream) {
    super();
  }

  override start(order: RunStart, timeoutMs: number): Promise<OrderAnswer<StartVerdict>> {
    return this.findIncarnation().start(order, timeoutMs);
  }

  override stop(name: RunName, fencingToken: number, timeoutMs: number): Promise<OrderAnswer<StopVerdict>> {
    return this.findIncarnation().stop(name, fencingToken, timeoutMs);
  }

  override renew(renewal: LeaseRenewal, timeoutMs: number): Promise<LeaseAnswer> {
    return this.findIncarnation().renew(renewal, timeoutMs);
  }

  override close(): void {
    // Nothing is open.
  }
}
