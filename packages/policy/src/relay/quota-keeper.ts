/**
 * Which host deals out a workspace's quota, and how much of it. Safety of
 * the bound in a split: each side deals out the part that belongs to the
 * hosts that it hears.
 */
import {rank} from '../core/rendezvous.js';

/** Part of a quota that a host deals out which is asked in place of a keeper that does not answer: until the silent one is known to be gone, which takes some seconds, both may be dealing. */
export const standInShare = 0.25;

/** Hosts that may keep a workspace's quota, the one to ask first in front. */
export function rankKeepers(workspace: string, hosts: readonly string[]): string[] {
	return rank(`quota ${workspace}`, hosts);
}

/** Part of a quota that the hosts heard by this one deal out, of all that are known. */
export function shareOf(heard: number, known: number): number {
	return Math.min(1, heard / Math.max(1, known));
}
