/**
 * Finds what makes a well-formed configuration unusable: routes on which no
 * request could ever be served. Safety: such a configuration would refuse
 * proper requests for good, so it must not come into force.
 */
import {type Route, type Routing, type Workspace} from '@gatehead/schema/routing';

/** Highest usable version. Each version replaces the lower ones, and versions rise in uneven steps, so there must be later ones: at the end of the range of exact numbers, a configuration could not be replaced by any other. */
const maxVersion = Number.MAX_SAFE_INTEGER - (2 ** 32);

function * findVersionFaults(version: number): Generator<string> {
	if (version > maxVersion) {
		yield `its version is ${version}, more than ${maxVersion}: no later one could follow`;
	}
}

function * findRouteFaults({name, timeoutMs, shares}: Route, services: ReadonlySet<string>): Generator<string> {
	if (timeoutMs === 0) {
		yield `route ${name}: its timeout is 0`;
	}

	if (shares.every(({weight}) => weight === 0)) {
		yield `route ${name}: all weights are 0`;
	}

	for (const {service} of shares) {
		if (!services.has(service)) {
			yield `route ${name}: service ${service} is not declared`;
		}
	}
}

function * findWorkspaceFaults({name, weight = 1}: Workspace): Generator<string> {
	if (!(weight > 0 && Number.isFinite(weight))) {
		yield `workspace ${name}: its weight is ${weight}, not a positive number`;
	}
}

/** Faults of a configuration, one sentence each; empty if it can be used. */
export function findRoutingFaults({version, routes, services, workspaces = []}: Routing): string[] {
	const names = new Set(services.map(({name}) => name));
	return [
		...findVersionFaults(version),
		...routes.flatMap(route => [...findRouteFaults(route, names)]),
		...workspaces.flatMap(workspace => [...findWorkspaceFaults(workspace)]),
	];
}
