/** State of a registrar: the claims on job keys of the seats that the configuration assigns to it. */
import type { Epoch, Message } from '../../connection/messages.js';
import type { ConfigState } from '../../version/configState.js';

/** Limits of a registrar. */
export interface RegistrarLimits {
  /** How long a key may be claimed after its creation, ms; the claim is kept for two `skewMs` longer. */
  readonly horizonMs: number;
  /** Largest assumed difference between two clocks, ms. */
  readonly skewMs: number;
  /** How long the registrar may answer claims after its lease was last renewed, ms. */
  readonly leaseMs: number;
  /** Largest number of held claims; at it new keys are denied. */
  readonly maxClaims: number;
}

/** Default limits. */
export const DEFAULT_REGISTRAR_LIMITS: RegistrarLimits = {
  horizonMs: 120_000,
  skewMs: 1_000,
  leaseMs: 4_000,
  maxClaims: 200_000,
};

/** The owner of a job and the agents that its owners may have used. */
export interface ClaimRecord {
  readonly job: string;
  readonly createdAt: number;
  readonly digest: string;
  owner: string;
  epoch: Epoch;
  /** True while the claim is known only from its owner's announcement and was not granted by this registrar. */
  announced: boolean;
  /** Agent incarnations of all sets that the job was claimed, widened or taken over with. */
  members: readonly string[];
}

/** The parts of an announcement received so far. */
export interface AnnouncedParts {
  readonly id: number;
  readonly recorded: Set<number>;
}

/** State of a registrar. The functions of this folder change the state that is passed to them. */
export interface RegistrarState {
  readonly peer: string;
  readonly limits: RegistrarLimits;
  readonly claims: Map<string, ClaimRecord>;
  /** Members of agent sets by `entry/setId`. */
  readonly agentSets: Map<string, readonly string[]>;
  /** Configuration offset of each entry's newest complete announcement. */
  readonly announced: Map<string, number>;
  /** Received parts of each entry's newest announcement. */
  readonly parts: Map<string, AnnouncedParts>;
  config: ConfigState;
  /** Counter of the last granted epoch. */
  counter: number;
  /** When the log was last read or a majority of the registrars confirmed, ms since the epoch. */
  leaseRenewedAt: number;
  leaving: boolean;
  outbox: { readonly to: string; readonly message: Message }[];
}

/**
 * Creates the state of a registrar without claims.
 *
 * @param peer - `id@incarnation` of the process
 * @param limits - its limits
 * @param config - the configuration it starts from
 * @returns the state
 * @example
 * createRegistrarState('agent-1@a', DEFAULT_REGISTRAR_LIMITS, createConfigState()).claims.size; // 0
 */
export function createRegistrarState(
  peer: string,
  limits: RegistrarLimits,
  config: ConfigState,
): RegistrarState {
  return {
    peer,
    limits,
    claims: new Map(),
    agentSets: new Map(),
    announced: new Map(),
    parts: new Map(),
    config,
    counter: 0,
    leaseRenewedAt: Number.NEGATIVE_INFINITY,
    leaving: false,
    outbox: [],
  };
}
