import { expect } from 'chai';

import type { Result, Start } from '../../connection/messages.js';
import { createAgentState, DEFAULT_AGENT_LIMITS } from './agentState.js';
import type { AgentState, AgentTask } from './agentState.js';
import { endTask } from './endTask.js';
import { handleStart } from './handleStart.js';
import { handleCancel, handleSweep } from './handleSweep.js';
import { leaveAgent } from './leaveAgent.js';
import { openEntryLink } from './openEntryLink.js';

const NOW = 1_000_000;
const ENTRY = 'entry-1@a';

function buildStart(changes: Partial<Start> = {}): Start {
  const ids = { job: 'job-1', createdAt: NOW, epoch: { version: 1, counter: 1 }, index: 0, attempt: 1 };
  const task = { kind: 'quote', body: '{}', deadline: NOW + 5_000, rank: 1 };
  return { type: 'start', ...ids, ...task, used: 1, waiting: 0, headRank: 0, again: false, ...changes };
}

function buildAgent(slots = 1): AgentState {
  const state = createAgentState('agent-1@a', { ...DEFAULT_AGENT_LIMITS, slots });
  openEntryLink(state, ENTRY);
  return state;
}

function listRuns(state: AgentState): AgentTask[] {
  return state.outbox.flatMap((effect) => (effect.type === 'run' ? [effect.task] : []));
}

function listResults(state: AgentState): Result[] {
  return state.outbox.flatMap((effect) => {
    return effect.type === 'send' && effect.message.type === 'result' ? [effect.message] : [];
  });
}

describe('handleStart', () => {
  it('runs a task once when its start is repeated', () => {
    const state = buildAgent();
    handleStart(state, ENTRY, buildStart(), NOW);
    handleStart(state, ENTRY, buildStart(), NOW);
    handleStart(state, ENTRY, buildStart({ again: true }), NOW);
    expect(listRuns(state)).to.have.length(1);
    expect(listResults(state).map(({ state: reached }) => reached)).to.deep.equal(['running']);
  });

  it('answers a repeated start with the answer of the finished task', () => {
    const state = buildAgent();
    handleStart(state, ENTRY, buildStart(), NOW);
    endTask(state, listRuns(state)[0] as AgentTask, { type: 'answered', status: 200, body: '"x"' }, NOW + 9);
    handleStart(state, ENTRY, buildStart({ attempt: 2 }), NOW);
    expect(listResults(state).map(({ body }) => body)).to.deep.equal(['"x"', '"x"']);
    expect(listRuns(state)).to.have.length(1);
  });

  it('refuses a start with an epoch below the one that fenced the job', () => {
    const state = buildAgent();
    handleSweep(state, 'entry-2@b', {
      type: 'sweep',
      job: 'job-1',
      createdAt: NOW,
      epoch: { version: 1, counter: 2 },
    });
    handleStart(state, ENTRY, buildStart(), NOW);
    expect(listResults(state)[0]).to.include({ state: 'refused', reason: 'fenced' });
    expect(listRuns(state)).to.be.empty;
  });

  it('never starts a refused attempt, but starts a later one', () => {
    const state = buildAgent();
    handleStart(state, ENTRY, buildStart({ deadline: NOW - 1 }), NOW);
    handleStart(state, ENTRY, buildStart(), NOW);
    expect(listRuns(state)).to.be.empty;
    handleStart(state, ENTRY, buildStart({ attempt: 2 }), NOW);
    expect(listRuns(state)).to.have.length(1);
  });

  it('answers unknown, not refused, to a start whose key is past the horizon', () => {
    const state = buildAgent();
    handleStart(state, ENTRY, buildStart({ createdAt: NOW - DEFAULT_AGENT_LIMITS.horizonMs - 1 }), NOW);
    expect(listResults(state)[0]).to.include({ state: 'unknown', reason: 'too-old' });
  });

  it('starts waiting tasks by rank and refuses those of a cancelled job', () => {
    const state = buildAgent();
    handleStart(state, ENTRY, buildStart(), NOW);
    handleStart(state, ENTRY, buildStart({ job: 'job-2', rank: 9 }), NOW);
    handleStart(state, ENTRY, buildStart({ job: 'job-3', rank: 5 }), NOW);
    handleCancel(state, ENTRY, { type: 'cancel', job: 'job-2', epoch: { version: 1, counter: 1 } });
    endTask(state, listRuns(state)[0] as AgentTask, { type: 'answered', status: 200, body: '1' }, NOW);
    expect(listRuns(state).map((task) => task.job.key)).to.deep.equal(['job-1', 'job-3']);
    expect(listResults(state).find(({ job }) => job === 'job-2')).to.include({ state: 'refused' });
  });

  it('refuses waiting and new tasks while leaving and delivers the results of running ones', () => {
    const state = buildAgent();
    handleStart(state, ENTRY, buildStart(), NOW);
    handleStart(state, ENTRY, buildStart({ job: 'job-2' }), NOW);
    leaveAgent(state);
    handleStart(state, ENTRY, buildStart({ job: 'job-3' }), NOW);
    endTask(state, listRuns(state)[0] as AgentTask, { type: 'answered', status: 200, body: '1' }, NOW);
    const states = Object.fromEntries(listResults(state).map(({ job, state: reached }) => [job, reached]));
    expect(states).to.deep.equal({ 'job-1': 'finished', 'job-2': 'refused', 'job-3': 'refused' });
    expect(listRuns(state)).to.have.length(1);
  });
});

describe('grantCredits', () => {
  it('grants a freed credit to the entry whose first waiting task ranks lowest', () => {
    const state = createAgentState('agent-1@a', { ...DEFAULT_AGENT_LIMITS, slots: 1, overcommit: 0 });
    openEntryLink(state, ENTRY);
    openEntryLink(state, 'entry-2@b');
    handleStart(state, ENTRY, buildStart({ waiting: 3, headRank: 9_000 }), NOW);
    handleStart(state, 'entry-2@b', buildStart({ job: 'job-2', waiting: 3, headRank: 1 }), NOW);
    endTask(state, listRuns(state)[0] as AgentTask, { type: 'answered', status: 200, body: '1' }, NOW);
    endTask(state, listRuns(state)[1] as AgentTask, { type: 'answered', status: 200, body: '1' }, NOW);
    expect(state.credits.get('entry-2@b')).to.include({ granted: 2 });
    expect(state.credits.get(ENTRY)).to.include({ granted: 1 });
  });
});
