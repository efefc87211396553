import { expect } from 'chai';

import { chooseAgents } from './chooseAgents.js';

const agents = Array.from({ length: 960 }, (_, index) => ({
  id: `agent-${index}`,
  failureDomain: `d${index % 8}`,
}));

describe('chooseAgents', () => {
  it('chooses evenly over the failure domains', () => {
    const chosen = chooseAgents(agents, 'entry-1', 64);
    for (let domain = 0; domain < 8; domain += 1) {
      expect(chosen.filter(({ failureDomain }) => failureDomain === `d${domain}`)).to.have.length(8);
    }
  });

  it('changes one choice when a chosen agent is removed', () => {
    const before = chooseAgents(agents, 'entry-1', 64);
    const gone = before[0];
    const after = chooseAgents(
      agents.filter((agent) => agent !== gone),
      'entry-1',
      64,
    );
    expect(after.filter((agent) => !before.includes(agent))).to.have.length(1);
  });

  it('covers nearly all agents with enough entries', () => {
    const reached = new Set(
      Array.from({ length: 120 }, (_, entry) => chooseAgents(agents, `entry-${entry}`, 64)).flat(),
    );
    expect(reached.size).to.be.greaterThan(950);
  });
});
