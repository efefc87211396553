import { expect } from 'chai';

import { CONNECTION_BYTES } from './InputAccount.js';
import type { ClosedInput, InputAccount } from './InputAccount.js';
import { InputBudget, LINK_LISTENER } from './InputBudget.js';

const LIMITS = { maxBytes: 20 * CONNECTION_BYTES, maxConnections: 12, maxLinks: 2 };

describe('InputBudget', () => {
  let now: number;
  let closed: ClosedInput[];
  let names: string[];
  let budget: InputBudget;

  beforeEach(() => {
    now = 0;
    closed = [];
    names = [];
    budget = new InputBudget({
      limits: LIMITS,
      now: () => now,
      recordClosed: (one) => closed.push(one),
    });
  });

  function open(name: string, listener = 'callers', maxConnections = 10): InputAccount {
    const account = budget.open(listener, maxConnections, () => names.push(name));
    if (!account) throw new Error(`${name} was closed`);
    return account;
  }

  it('closes what holds most when the memory is used up', () => {
    const small = open('small');
    open('idle');
    const large = open('large');
    small.hold(2 * CONNECTION_BYTES);
    large.hold(16 * CONNECTION_BYTES);
    expect(names).to.deep.equal(['large']);
    expect(closed).to.deep.equal([
      { listener: 'callers', reason: 'memory', heldBytes: 17 * CONNECTION_BYTES },
    ]);
    expect(budget.heldBytes).to.equal(4 * CONNECTION_BYTES);
  });

  it('closes what moves least among connections that hold the same', () => {
    const moving = open('moving');
    const stalled = open('stalled');
    stalled.recordInput(8 * CONNECTION_BYTES, now);
    now += 20_000;
    moving.recordInput(8 * CONNECTION_BYTES, now);
    stalled.hold(8 * CONNECTION_BYTES);
    moving.hold(8 * CONNECTION_BYTES);
    open('third').hold(2 * CONNECTION_BYTES);
    expect(names).to.deep.equal(['stalled']);
  });

  it('closes an idle connection in favour of a new one at a limit, the oldest first', () => {
    for (let number = 1; number <= 10; number += 1) open(`idle-${number}`);
    open('new');
    expect(names).to.deep.equal(['idle-1']);
    expect(closed[0]?.reason).to.equal('connections');
    expect(budget.connections).to.equal(10);
  });

  it('closes connections of another listener only when all together reach the limit', () => {
    for (let number = 1; number <= 10; number += 1) open(`caller-${number}`);
    open('check-1', 'readiness', 2);
    open('check-2', 'readiness', 2);
    open('check-3', 'readiness', 2);
    expect(names).to.deep.equal(['check-1']);
    open('scrape', 'metrics', 2);
    expect(names).to.deep.equal(['check-1', 'caller-1']);
  });

  it('closes no admitted connection, and a new one where all are', () => {
    for (let number = 1; number <= 10; number += 1) open(`open-${number}`).setAdmitted(true);
    expect(budget.heldBytes).to.equal(0);
    expect(budget.open('callers', 10, () => names.push('new'))).to.equal(undefined);
    expect(names).to.deep.equal(['new']);
  });

  it('counts admitted links apart from connections, up to their own limit', () => {
    const links = [1, 2, 3].map((number) => open(`link-${number}`, LINK_LISTENER));
    for (const link of links) link.setAdmitted(true);
    expect(names).to.deep.equal(['link-3']);
    expect(budget.connections).to.equal(0);
  });

  it('holds nothing once all connections have closed', () => {
    const accounts = [open('one'), open('two'), open('three', LINK_LISTENER)];
    for (const account of accounts) account.hold(1_000);
    accounts[1]?.setAdmitted(true);
    accounts[2]?.setAdmitted(true);
    for (const account of accounts) account.remove();
    accounts[0]?.hold(5_000);
    expect([budget.heldBytes, budget.connections]).to.deep.equal([0, 0]);
    expect(names).to.deep.equal([]);
  });
});
