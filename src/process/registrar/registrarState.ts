/** What a registrar knows: who claimed which job key, on the seats that the configuration gives it. */
import type { Epoch, Message } from '../../connection/messages.js';
import type { ConfigState } from '../../version/configState.js';

/** Bounds of a registrar. */
export interface RegistrarLimits {
  /** How long a claim is kept after the key's creation, in ms. */
  readonly horizonMs: number;
  /** Largest difference between two clocks, in ms. */
  readonly skewMs: number;
  /** How long the registrar claims on without hearing the log or a majority of the registrars, in ms. */
  readonly leaseMs: number;
  /** Most claims held; past it new keys are denied. */
  readonly maxClaims: number;
}

/** Limits that the daemons start with. */
export const DEFAULT_REGISTRAR_LIMITS: RegistrarLimits = {
  horizonMs: 120_000,
  skewMs: 1_000,
  leaseMs: 4_000,
  maxClaims: 200_000,
};

/** Who owns a job, and which agents its owners may have used. */
export interface ClaimRecord {
  readonly job: string;
  readonly createdAt: number;
  readonly digest: string;
  owner: string;
  epoch: Epoch;
  /** True until this registrar itself grants the job: it learned the claim from its owner. */
  announced: boolean;
  /** Agent incarnations of every set the job was claimed or widened with. */
  members: readonly string[];
}

/** How much of an announcement has arrived. */
export interface AnnouncedParts {
  readonly id: number;
  readonly recorded: Set<number>;
}

/** State of a registrar. The functions of this folder change the state that is passed to them. */
export interface RegistrarState {
  readonly peer: string;
  readonly limits: RegistrarLimits;
  readonly claims: Map<string, ClaimRecord>;
  /** Agent sets by `entry/setId`. */
  readonly sets: Map<string, readonly string[]>;
  /** Offset of each entry's last complete announcement. */
  readonly announced: Map<string, number>;
  /** Parts of each entry's newest announcement that have been recorded. */
  readonly parts: Map<string, AnnouncedParts>;
  config: ConfigState;
  /** Counter of the last granted epoch. */
  counter: number;
  /** When the log or a majority was last heard, ms since the epoch. */
  heardAt: number;
  leaving: boolean;
  outbox: { readonly to: string; readonly message: Message }[];
}

/**
 * Creates the state of a registrar that holds no claim.
 *
 * @param peer - `id@incarnation` of the process
 * @param limits - its bounds
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
    sets: new Map(),
    announced: new Map(),
    parts: new Map(),
    config,
    counter: 0,
    heardAt: Number.NEGATIVE_INFINITY,
    leaving: false,
    outbox: [],
  };
}
