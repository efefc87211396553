/** Client of an address at which successive incarnations of an upstream share one id. */
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

/** Sends each call to the incarnation that listens when the call is made. */
export class AddressUpstreamApi extends UpstreamApi {
  /** @param findIncarnation - returns the current incarnation */
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
    // There is no connection to close.
  }
}
