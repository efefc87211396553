import { expect } from 'chai';

import { createConfigState } from '../../version/configState.js';
import { buildCommandRecord, buildEventRecord } from './buildEventRecord.js';
import { parseCommand } from './parseCommand.js';
import type { EventStatement } from './statement.js';

describe('parseCommand', () => {
  it('parses a query with conditions, order and limit', () => {
    const parsed = parseCommand('list jobs where state = running and ageMs > 2s order by ageMs desc limit 5');
    expect(parsed.ok && parsed.statement).to.deep.equal({
      type: 'query',
      action: 'list',
      subject: 'jobs',
      conditions: [
        { field: 'state', comparison: '=', value: 'running' },
        { field: 'ageMs', comparison: '>', value: 2_000 },
      ],
      order: { field: 'ageMs', descending: true },
      limit: 5,
    });
  });

  it('parses a declaration with a keyword as its name', () => {
    const parsed = parseCommand(
      'declare event end start now+90s services s kinds kind(service = s, priority = 0)',
    );
    expect(parsed.ok && parsed.statement).to.deep.include({ type: 'declare', name: 'end' });
  });

  it('parses and builds records that evacuate or restore a failure domain', () => {
    const parsed = parseCommand('evacuate domain halle-bern');
    const statement = { type: 'evacuate', failureDomain: 'halle-bern' } as const;
    expect(parsed.ok && parsed.statement).to.deep.equal(statement);
    const built = buildCommandRecord(statement, createConfigState(), 'c', 0);
    const record = { type: 'domain', id: 'c', failureDomain: 'halle-bern', isEmptied: true };
    expect(built).to.deep.equal({ ok: true, record });
    const back = parseCommand('restore domain "halle 2"');
    expect(back.ok && back.statement).to.deep.equal({ type: 'restore', failureDomain: 'halle 2' });
    expect(parseCommand('evacuate halle-bern').ok).to.equal(false);
  });

  it('reports the column and the expected token', () => {
    const parsed = parseCommand('change event opening start now');
    expect(parsed.ok).to.equal(false);
    if (!parsed.ok) {
      expect(parsed.errors[0]?.column).to.equal(22);
      expect(parsed.errors[0]?.message).to.contain("'version'");
    }
  });

  it('rejects unknown characters and properties', () => {
    expect(parseCommand('list jobs where a ; 3').ok).to.equal(false);
    expect(parseCommand('declare event x kinds k(colour = red)').ok).to.equal(false);
  });
});

describe('buildEventRecord', () => {
  const parse = (text: string): EventStatement => {
    const parsed = parseCommand(text);
    if (!parsed.ok || parsed.statement.type === 'query' || 'failureDomain' in parsed.statement)
      throw new Error(text);
    return parsed.statement;
  };

  it('rejects a change that was decided on another version', () => {
    const kinds = [{ name: 'k', service: '', priority: 1, deadlineMs: 1, repeatable: false, expectedMs: 1 }];
    const event = { name: 'opening', startAt: 5, endAt: 0, services: ['s'], kinds, version: 7 };
    const config = { ...createConfigState(), events: [event] };
    expect(buildEventRecord(parse('change event opening version 6 start now'), config, 'c', 1).ok).to.equal(
      false,
    );
    const built = buildEventRecord(parse('prioritize kind k of opening as 0 version 7'), config, 'c', 1);
    expect(built.ok && built.record.event.kinds[0]?.priority).to.equal(0);
    expect(built.ok && built.record.event.startAt).to.equal(5);
  });
});
