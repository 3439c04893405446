/**
 * Selects the host that coordinates a workspace's quota (`keeper` in
 * messages), and the fraction of the quota that it may grant.
 * Safety: during a network partition the quota's bound holds because each side
 * grants only the fraction for the hosts that it can reach.
 */
import {rank} from '../core/rendezvous.js';

/** Fraction of a quota that a stand-in may grant when the coordinator does not answer: until failure detection removes the coordinator, both may be granting. */
export const standInFraction = 0.25;

/** Ranks the hosts that may coordinate a workspace's quota, preferred first. */
export function rankCoordinators(workspace: string, hosts: readonly string[]): string[] {
	return rank(`quota ${workspace}`, hosts);
}

/** Returns the fraction of a quota, from 0 to 1, for `reachable` hosts out of `total`. */
export function reachableShare(reachable: number, total: number): number {
	return Math.min(1, reachable / Math.max(1, total));
}
