import { expect } from 'chai';

import { NO_EPOCH } from '../../connection/compareEpochs.js';
import type { Claim, Claimed, Hello, Message, Start } from '../../connection/messages.js';
import { LatenessAdmission } from '../../request/admission.js';
import type { JobAnswer, JobRequest } from '../../request/job.js';
import { RemainingWorkOrdering } from '../../request/ordering.js';
import { CreditPlacement } from '../../request/placement.js';
import type { LogEntry, LogRecord } from '../../version/logRecord.js';
import { DEFAULT_ENTRY_MEMBERSHIP, EntryNode } from './EntryNode.js';
import { DEFAULT_ENTRY_LIMITS } from './entryState.js';

const NOW = 1_000_000;
const AGENT = 'agent-1@a';
const SELF = 'entry-1@a';
const kind = { service: '', deadlineMs: 10_000, repeatable: true, expectedMs: 100 };
const EVENT = {
  name: 'opening',
  startAt: 0,
  endAt: 0,
  services: [],
  kinds: [
    { ...kind, name: 'quote', priority: 0 },
    { ...kind, name: 'ping', priority: 1 },
  ],
  version: 0,
};

const RECORDS: LogRecord[] = [
  { type: 'event', id: 'd', action: 'declare', decidedOn: 0, event: EVENT },
  { type: 'join', id: 'r', role: 'registrar', peer: AGENT, address: 'h:1' },
  { type: 'join', id: 'e', role: 'entry', peer: SELF, address: 'h:2' },
];

/** The fields of a start that its result repeats. */
type StartedTask = Pick<Start, 'job' | 'epoch' | 'index' | 'attempt'>;

/** An entry with one linked agent, which is also the registrar. */
class EntryFixture {
  readonly node: EntryNode;
  readonly answers = new Map<string, JobAnswer>();
  sent: Message[] = [];

  constructor(credits: number) {
    const policy = {
      ordering: new RemainingWorkOrdering(),
      placement: new CreditPlacement(),
      admission: new LatenessAdmission(1_000),
    };
    const membership = { ...DEFAULT_ENTRY_MEMBERSHIP, address: 'h:2', failureDomain: 'd' };
    this.node = new EntryNode(SELF, DEFAULT_ENTRY_LIMITS, membership, { policy, nextRandom: () => 0.5 });
    const log: LogEntry[] = RECORDS.map((record, offset) => ({ offset, at: NOW, record }));
    this.node.followLog(log, NOW);
    const place = {
      failureDomain: 'd',
      offset: 2,
      slots: credits,
      address: 'h:1',
      queued: 0,
      leaving: false,
    };
    const hello: Hello = { type: 'hello', peer: AGENT, role: 'agent', ...place };
    this.node.openLink(hello, NOW);
    this.node.receive(AGENT, { type: 'credit', granted: credits }, NOW);
    this.applyEffects(NOW);
  }

  submit(job: string, kindName: string, tasks: number, caller: string, body = '1', now = NOW): void {
    const list = Array.from({ length: tasks }, () => ({ kind: kindName, body }));
    const base = { createdAt: NOW, event: 'opening', deadlineMs: undefined, caller: '', team: '' };
    const request: JobRequest = { job, tasks: list, ...base };
    this.node.submit(request, caller, now);
    this.applyEffects(now);
  }

  applyEffects(now: number): void {
    this.sent = [];
    for (const effect of this.node.takeEffects(now)) {
      if (effect.type === 'send') this.sent.push(effect.message);
      if (effect.type === 'answer') this.answers.set(effect.caller, effect.answer);
    }
  }

  find<T extends Message['type']>(type: T): Extract<Message, { type: T }>[] {
    return this.sent.filter((message): message is Extract<Message, { type: T }> => message.type === type);
  }

  /** Answers the last claim in place of the registrar. */
  answerClaim(changes: Partial<Claimed> = {}, now = NOW): void {
    const claim = this.find('claim').at(-1) as Claim;
    const base = { epoch: { version: 1, counter: claim.id }, owner: SELF, members: [], digest: claim.digest };
    const claimed: Claimed = {
      type: 'claimed',
      id: claim.id,
      job: claim.job,
      outcome: 'granted',
      ...base,
      ...changes,
    };
    this.node.receive(AGENT, claimed, now);
    this.applyEffects(now);
  }

  answerStart(start: StartedTask, body: string, granted: number): void {
    const { job, epoch, index, attempt } = start;
    const result = { state: 'finished', status: 200, body, reason: '', granted, workMs: 100 };
    this.node.receive(AGENT, { type: 'result', job, epoch, index, attempt, ...result }, NOW);
    this.applyEffects(NOW);
  }
}

describe('EntryNode', () => {
  it('claims a job before starting its tasks and returns the answers in task order', () => {
    const fixture = new EntryFixture(4);
    fixture.submit('job-1', 'quote', 2, 'c1');
    expect(fixture.find('start')).to.be.empty;
    fixture.answerClaim();
    const starts = fixture.find('start');
    expect(starts).to.have.length(2);
    for (const start of [...starts].reverse()) fixture.answerStart(start, `"${start.index}"`, 6);
    const answer = fixture.answers.get('c1');
    expect(answer?.outcome === 'complete' && answer.answers.map(({ body }) => body)).to.deep.equal([
      '"0"',
      '"1"',
    ]);
  });

  it('attaches a repeated submission to the first and reports a conflict for other contents under its key', () => {
    const fixture = new EntryFixture(4);
    fixture.submit('job-1', 'quote', 1, 'c1');
    fixture.answerClaim();
    const [start] = fixture.find('start');
    fixture.submit('job-1', 'quote', 1, 'c2');
    fixture.submit('job-1', 'quote', 1, 'c3', '2');
    expect(fixture.answers.get('c3')).to.deep.equal({ outcome: 'conflict', differs: ['bodies of tasks'] });
    fixture.answerStart(start as Start, '"x"', 5);
    expect(fixture.answers.get('c1')).to.deep.equal(fixture.answers.get('c2'));
    expect(fixture.answers.get('c2')?.outcome).to.equal('complete');
  });

  it('sweeps the members of an earlier grant and starts nothing until all have answered', () => {
    const fixture = new EntryFixture(4);
    fixture.submit('job-1', 'quote', 2, 'c1');
    fixture.answerClaim({ members: [AGENT] });
    expect(fixture.find('start')).to.be.empty;
    const [sweep] = fixture.find('sweep');
    const found = { index: 1, attempt: 1, state: 'finished', status: 200, body: '"old"', hasBody: true };
    const epoch = sweep?.epoch ?? NO_EPOCH;
    fixture.node.receive(AGENT, { type: 'swept', job: 'job-1', epoch, fenced: false, tasks: [found] }, NOW);
    fixture.applyEffects(NOW);
    expect(fixture.find('start').map(({ index }) => index)).to.deep.equal([0]);
  });

  it('starts the more urgent job first when a credit is returned', () => {
    const fixture = new EntryFixture(1);
    for (const [job, name] of [
      ['job-1', 'ping'],
      ['job-2', 'ping'],
      ['job-3', 'quote'],
    ] as const) {
      fixture.submit(job, name, 1, job);
      fixture.answerClaim();
    }
    const epoch = fixture.node.state.jobs.get('job-1')?.epoch ?? NO_EPOCH;
    fixture.answerStart({ job: 'job-1', epoch, index: 0, attempt: 1 }, '1', 2);
    expect(fixture.find('start').map(({ job: key }) => key)).to.deep.equal(['job-3']);
  });

  it('refuses a waiting job predicted to be late after a lookup confirms that it still owns the job', () => {
    const fixture = new EntryFixture(1);
    fixture.submit('job-1', 'ping', 1, 'c1');
    fixture.answerClaim();
    fixture.submit('job-2', 'ping', 1, 'c2');
    fixture.answerClaim();
    const granted = fixture.node.state.jobs.get('job-2')?.epoch;
    const late = NOW + 9_950;
    fixture.node.followLog([], late);
    fixture.node.tick(late);
    fixture.applyEffects(late);
    expect(fixture.find('claim').at(-1)).to.include({ mode: 'lookup', job: 'job-2' });
    fixture.answerClaim({ epoch: granted ?? NO_EPOCH }, late);
    expect(fixture.answers.get('c2')).to.include({ outcome: 'refused', reason: 'predicted-late' });
  });

  it('starts no tasks in an emptied failure domain until the domain is restored', () => {
    const fixture = new EntryFixture(4);
    const log = (offset: number, isEmptied: boolean): void => {
      const record: LogRecord = { type: 'domain', id: `d${offset}`, failureDomain: 'd', isEmptied };
      fixture.node.followLog([{ offset, at: NOW, record }], NOW);
      fixture.applyEffects(NOW);
    };
    log(RECORDS.length, true);
    fixture.submit('job-1', 'quote', 1, 'c1');
    fixture.answerClaim();
    expect(fixture.find('start')).to.be.empty;
    log(RECORDS.length + 1, false);
    expect(fixture.find('start')).to.have.length(1);
  });

  it('claims nothing without a lease', () => {
    const fixture = new EntryFixture(1);
    fixture.submit('job-1', 'ping', 1, 'c1', '1', NOW + DEFAULT_ENTRY_LIMITS.leaseMs + 1);
    expect(fixture.find('claim')).to.be.empty;
  });
});
