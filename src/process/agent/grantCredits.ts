import type { AgentState, EntryCredit } from './agentState.js';

/**
 * Grants free credits. An entry without waiting tasks keeps an even share, so that a job which arrives there
 * can start at once; the credits that are really in use or asked for are handed out one by one to the entry
 * whose first waiting task ranks lowest, so that priority holds across entries.
 *
 * @param state - the agent's state, which is changed
 * @example
 * grantCredits(state);
 */
export function grantCredits(state: AgentState): void {
  const limit = findCreditLimit(state);
  if (limit === 0) return;
  const links = [...state.credits.values()].filter((credit) => credit.connected);
  if (links.length === 0) return;
  grantShares(links, limit);
  let free = limit - countCommitted(state);
  while (free > 0) {
    const neediest = findNeediest(links, state.limits.stickinessMs);
    if (!neediest) return;
    neediest.granted += 1;
    free -= 1;
  }
}

/**
 * Tells every entry its credits that no result told it.
 *
 * @param state - the agent's state, whose outbox receives the messages
 * @example
 * tellCredits(state);
 */
export function tellCredits(state: AgentState): void {
  for (const credit of state.credits.values()) {
    if (!credit.connected || credit.told === credit.granted) continue;
    credit.told = credit.granted;
    const message = { type: 'credit', granted: credit.granted } as const;
    state.outbox.push({ type: 'send', to: credit.peer, message });
  }
}

function findCreditLimit(state: AgentState): number {
  if (state.leaving || state.upstreamDown) return 0;
  if (state.jobs.size >= state.limits.maxJobs) return 0;
  if (state.answerBytes >= state.limits.maxAnswerBytes) return 0;
  return state.limits.slots + state.limits.overcommit;
}

function grantShares(links: readonly EntryCredit[], limit: number): void {
  const share = Math.max(1, Math.floor(limit / links.length));
  for (const credit of links) {
    if (credit.waiting > 0) continue;
    const held = credit.granted - credit.used + credit.outstanding;
    if (held < share) credit.granted += share - held;
  }
}

/** Credits in use by accepted tasks, or on their way to entries with waiting tasks. */
function countCommitted(state: AgentState): number {
  let committed = 0;
  for (const credit of state.credits.values()) {
    committed += credit.outstanding;
    if (credit.connected && credit.waiting > 0) committed += Math.max(0, credit.granted - credit.used);
  }
  return committed;
}

/**
 * Finds the entry whose first waiting task ranks lowest. The entry that is told its credits anyway, because it
 * has a result coming, is preferred within the stickiness: a credit for another costs a message.
 */
function findNeediest(links: readonly EntryCredit[], stickinessMs: number): EntryCredit | undefined {
  let best: EntryCredit | undefined;
  let bestRank = Number.POSITIVE_INFINITY;
  for (const credit of links) {
    if (credit.waiting <= credit.granted - credit.used) continue;
    const rank = credit.headRank - (credit.answering ? stickinessMs : 0);
    if (rank >= bestRank) continue;
    best = credit;
    bestRank = rank;
  }
  return best;
}
