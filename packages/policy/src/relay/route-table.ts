/**
 * Looks up the route of a request by authority and longest path prefix, a
 * route's service by weighted random choice, and the workspace of a key.
 * Safety: requests reach only services named by their route.
 */
import {
	type Route, type Routing, type Service, type Workspace,
} from '@gatehead/schema/routing';
import {type Random} from '../utils/random.js';

/** Removes the port of an authority and converts it to lower case. */
export function normalizeAuthority(authority: string): string {
	return authority.replace(/:\d+$/v, '').toLowerCase();
}

/** Lookup tables of one configuration. */
export class RouteTable {
	readonly routing: Routing;
	readonly #routes = new Map<string, Route[]>();
	readonly #services = new Map<string, Service>();
	readonly #workspaces = new Map<string, Workspace>();

	constructor(routing: Routing) {
		this.routing = routing;
		for (const service of routing.services) {
			this.#services.set(service.name, service);
		}

		for (const workspace of routing.workspaces ?? []) {
			for (const digest of workspace.keyDigests) {
				this.#workspaces.set(digest, workspace);
			}
		}

		for (const route of routing.routes) {
			const key = normalizeAuthority(route.authority);
			const known = this.#routes.get(key);
			if (known === undefined) {
				this.#routes.set(key, [route]);
			} else {
				known.push(route);
			}
		}

		for (const routes of this.#routes.values()) {
			routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
		}
	}

	/** Returns the route of a request, or undefined if none matches. `target` may include a query. */
	match(authority: string, target: string): Route | undefined {
		const path = target.split('?', 1)[0] ?? target;
		return this.#routes.get(normalizeAuthority(authority))?.find(({pathPrefix}) => path.startsWith(pathPrefix));
	}

	/** Whether callers must present keys, except on public routes. */
	get hasWorkspaces(): boolean {
		return this.routing.workspaces !== undefined;
	}

	/** Returns the workspace of a key's digest. */
	workspaceOf(keyDigest: string): Workspace | undefined {
		return this.#workspaces.get(keyDigest);
	}

	service(name: string): Service | undefined {
		return this.#services.get(name);
	}

	/** Chooses one of a route's services at random, by weight. */
	chooseService({shares}: Route, random: Random): Service | undefined {
		// Relative to the largest, since a sum of weights may exceed the range of numbers
		const largest = Math.max(...shares.map(({weight}) => weight));
		const total = shares.reduce((sum, {weight}) => sum + (weight / largest), 0);
		let point = random.next() * total;
		for (const {service, weight} of shares) {
			point -= weight / largest;
			if (point < 0) {
				return this.service(service);
			}
		}

		return this.service(shares[0]?.service ?? '');
	}
}
