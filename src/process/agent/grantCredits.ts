import type { AgentState, EntryCredit } from './agentState.js';

/**
 * Grants free credits. An entry without waiting tasks keeps an even share, so that its next job can start at
 * once. The remaining credits are granted one by one to the entry whose first waiting task ranks lowest, so that
 * priorities hold across entries. Even shares that are not in use do not reduce the remaining credits.
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
  let free = limit - countCommittedCredits(state);
  while (free > 0) {
    const entry = selectNextEntry(links, state.limits.stickinessMs);
    if (!entry) return;
    entry.granted += 1;
    free -= 1;
  }
}

/**
 * Sends the granted credits to the entries to which no result has reported them.
 *
 * @param state - the agent's state, whose outbox receives the messages
 * @example
 * sendCredits(state);
 */
export function sendCredits(state: AgentState): void {
  for (const credit of state.credits.values()) {
    if (!credit.connected || credit.reportedGranted === credit.granted) continue;
    credit.reportedGranted = credit.granted;
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

/** Counts the credits in use by accepted tasks, and the unused credits of entries with waiting tasks. */
function countCommittedCredits(state: AgentState): number {
  let committed = 0;
  for (const credit of state.credits.values()) {
    committed += credit.outstanding;
    if (credit.connected && credit.waiting > 0) committed += Math.max(0, credit.granted - credit.used);
  }
  return committed;
}

/**
 * Selects the entry whose first waiting task ranks lowest. The entry with a pending result is preferred within the
 * stickiness, because that result carries its credits; a credit for any other entry needs an extra message.
 */
function selectNextEntry(links: readonly EntryCredit[], stickinessMs: number): EntryCredit | undefined {
  let best: EntryCredit | undefined;
  let bestRank = Number.POSITIVE_INFINITY;
  for (const credit of links) {
    if (credit.waiting <= credit.granted - credit.used) continue;
    const rank = credit.headRank - (credit.hasPendingResult ? stickinessMs : 0);
    if (rank >= bestRank) continue;
    best = credit;
    bestRank = rank;
  }
  return best;
}
