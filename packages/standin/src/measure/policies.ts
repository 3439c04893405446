/** The policies that are measured, by name. */
import {type BaselineName} from '@gatehead/policy/baselines/placement';
import {type Policy} from './flow.js';
import {LeasePolicy} from './lease-policy.js';
import {PlacementPolicy} from './placement-policy.js';
import {type World} from './world.js';

/** A policy's name. */
export type PolicyName = BaselineName | 'current';

/** Makes a policy by its name. */
export function makePolicy(name: PolicyName, world: World): Policy {
	return name === 'current' ? new LeasePolicy(world) : new PlacementPolicy(world, name);
}
