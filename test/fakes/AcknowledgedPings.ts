/** Pings and hellos of executors that dispatchers of the simulation have acknowledged. */

interface AcknowledgedPing {
  readonly sentAt: number;
  readonly acknowledgedAt: number;
}

/** Acknowledged pings by incarnation of the dispatcher and index of the executor. */
export class AcknowledgedPings {
  private readonly pings = new Map<string, AcknowledgedPing[]>();

  /** Records a ping that a dispatcher acknowledges now. */
  record(entryLife: string, executor: number, sentAt: number, now: number): void {
    const key = `${entryLife}/${executor}`;
    const known = this.pings.get(key);
    if (known) known.push({ sentAt, acknowledgedAt: now });
    else this.pings.set(key, [{ sentAt, acknowledgedAt: now }]);
  }

  /** Finds when the newest ping was sent that was acknowledged by the given time; undefined if there is none. */
  findNewest(entryLife: string, executor: number, until: number): number | undefined {
    let newest: number | undefined;
    for (const { sentAt, acknowledgedAt } of this.pings.get(`${entryLife}/${executor}`) ?? [])
      if (acknowledgedAt <= until && sentAt > (newest ?? -Infinity)) newest = sentAt;
    return newest;
  }
}
