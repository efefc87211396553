import { expect } from 'chai';
import { v7 as createUuid } from 'uuid';

import { createConfigState } from '../version/configState.js';
import { checkJobRequest, MAX_TASKS } from './checkJobRequest.js';
import { digestJob, findDifferences } from './digestJob.js';

const kind = { name: 'quote', service: '', priority: 0, deadlineMs: 1, repeatable: true, expectedMs: 1 };
const event = { name: 'opening', startAt: 0, endAt: 0, services: [], kinds: [kind], version: 0 };
const NOW = 1_800_000_000_000;
const context = {
  config: { ...createConfigState(), events: [event] },
  now: NOW,
  skewMs: 1_000,
  caller: '',
  team: '',
};
const good = { job: 'a', createdAt: NOW, event: 'opening', tasks: [{ kind: 'quote', body: { x: [1] } }] };

function listPointers(input: unknown): string[] {
  const check = checkJobRequest(input, context);
  return check.ok ? [] : check.findings.map(({ pointer }) => pointer);
}

describe('checkJobRequest', () => {
  it('accepts a valid job, and returns its bodies as JSON text', () => {
    const check = checkJobRequest(good, context);
    expect(check.ok && check.request.tasks[0]?.body).to.equal('{"x":[1]}');
  });

  it('reads the creation time of a UUIDv7', () => {
    const check = checkJobRequest(
      { ...good, job: createUuid({ msecs: NOW - 5 }), createdAt: undefined },
      context,
    );
    expect(check.ok && check.request.createdAt).to.equal(NOW - 5);
  });

  it('reports all findings at once', () => {
    const tasks = [{ kind: 3, body: 1 }, { kind: 'quote' }];
    const pointers = listPointers({ event: 'opening', tasks, extra: 1 });
    expect(pointers).to.have.members(['/job', '/extra', '/tasks/0/kind', '/tasks/1/body']);
  });

  it('rejects unknown events and kinds, and creation times in the future', () => {
    expect(listPointers({ ...good, event: 'closing' })).to.deep.equal(['/event']);
    expect(listPointers({ ...good, tasks: [{ kind: 'seal', body: 1 }] })).to.deep.equal(['/tasks/0/kind']);
    expect(listPointers({ ...good, createdAt: NOW + 1_001 })).to.deep.equal(['/createdAt']);
  });

  it('bounds the number of tasks', () => {
    const tasks = Array.from({ length: MAX_TASKS + 1 }, () => ({ kind: 'quote', body: 1 }));
    expect(listPointers({ ...good, tasks })).to.deep.equal(['/tasks']);
  });
});

describe('digestJob', () => {
  it('distinguishes the parts that differ', () => {
    const left = digestJob({ event: 'a', tasks: [{ kind: 'k', body: '1' }] });
    const right = digestJob({ event: 'a', tasks: [{ kind: 'k', body: '2' }] });
    expect(findDifferences(left, right)).to.deep.equal(['bodies of tasks']);
    expect(findDifferences(left, left)).to.be.empty;
  });
});
