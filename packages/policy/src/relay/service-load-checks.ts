/** Checks of the load of a service over simulated fleets under demand beyond their capacity. */
import {expect} from 'earl';
import {
	capacityTokens, SimulatedFleet, type CallerRequest, type Demand, type FleetOptions, type HostFault,
} from './fleet-load-simulation.js';

/** A fleet of one size under one fault. */
export type FleetCase = {
	readonly hosts: number;
	readonly replicas: number;
	readonly fault: HostFault;
};

/** Seeds whose requests are judged together: one run has too few for fractions of 0.02. */
const seeds = [1, 2, 3] as const;

/** Requests per second that one replica serves, less what sizes that do not fit leave unused. */
const perReplica = 2;
/** Fraction of the requests of a workspace within its share that are served on time. */
const minServed = 0.95;
/** Memory in use, as a fraction of what a fleet without load management uses. */
const minUsed = 0.95;
/** Faults under which shares hold but may leave memory unused, as hosts act on old requests of others. */
const degradingFaults: ReadonlySet<HostFault> = new Set(['partition', 'stale']);

function isServed({isOnTime, rejections}: CallerRequest): boolean {
	return isOnTime && rejections < 2;
}

function fractionOf(requests: readonly CallerRequest[], isCounted: (request: CallerRequest) => boolean): number {
	return requests.filter(request => isCounted(request)).length / requests.length;
}

function listBetween(fleet: SimulatedFleet, demand: Demand, from: number, to: number): CallerRequest[] {
	return fleet.requests.filter(request => request.demand === demand && request.arrivedAt >= from && request.arrivedAt < to);
}

/** Runs a fleet; returns also the fraction of its memory that was in use after `from`. */
function runFleet(options: FleetOptions, from: number): {readonly fleet: SimulatedFleet; readonly usedFraction: number} {
	let usedBefore = 0;
	const fleet = new SimulatedFleet(options);
	fleet.run(now => {
		usedBefore = now <= from ? fleet.usedTokenMs : usedBefore;
	});
	return {fleet, usedFraction: (fleet.usedTokenMs - usedBefore) / (options.durationMs - from) / options.replicas / capacityTokens};
}

function checkExcess({hosts, replicas, fault}: FleetCase): void {
	const capacity = replicas * perReplica;
	const base = {hosts, replicas, fault};
	const within: Demand = {
		workspace: 'within', urgency: 0, targetMs: 909, perS: () => 0.4 * capacity,
	};
	const excess: Demand = {
		workspace: 'excess', urgency: 0, targetMs: 909, perS: at => (at > 4000 ? 3.5 : 0.4) * capacity,
	};
	const runs = seeds.map(seed => {
		const options = {
			...base, seed, demands: [within, excess], durationMs: 16_000,
		};
		const {fleet, usedFraction} = runFleet(options, 6000);
		return {fleet, used: usedFraction, available: runFleet({...options, isManaged: false}, 6000).usedFraction};
	});
	const requests = (demand: Demand) => runs.flatMap(({fleet}) => listBetween(fleet, demand, 5000, 10_500));
	const sum = (part: 'used' | 'available') => runs.reduce((total, run) => total + run[part], 0);
	expect(fractionOf(requests(within), request => isServed(request)) >= minServed).toEqual(true);
	expect(degradingFaults.has(fault) || sum('used') >= minUsed * sum('available')).toEqual(true);
	expect(requests(excess).some(request => isServed(request))).toEqual(true);
}

function checkUrgent({hosts, replicas, fault}: FleetCase): void {
	const capacity = replicas * perReplica;
	const base = {hosts, replicas, fault};
	const urgent: Demand = {urgency: 0, targetMs: 809, perS: () => 0.4 * capacity};
	const calm: Demand = {urgency: 1, targetMs: 2009, perS: () => 0.35 * capacity};
	const burst: Demand = {...calm, perS: at => (at > 5000 && at < 11_000 ? 2.4 : 1) * 0.35 * capacity};
	const [before = 0, during = 0] = [calm, burst].map(demand => {
		const requests = seeds.flatMap(seed => listBetween(runFleet({
			...base, seed, demands: [urgent, demand], durationMs: 16_000,
		}, 0).fleet, urgent, 5000, 11_000));
		return fractionOf(requests, request => isServed(request));
	});
	expect(before - during < 0.02).toEqual(true);
}

function checkReturns({hosts, replicas, fault}: FleetCase): void {
	const capacity = replicas * perReplica;
	const base = {hosts, replicas, fault};
	const burst: Demand = {urgency: 0, targetMs: 909, perS: at => (at > 5000 && at < 9000 ? 2 : 0.5) * capacity};
	const rejected = seeds.flatMap(seed => listBetween(runFleet({
		...base, seed, demands: [burst], durationMs: 20_000,
	}, 0).fleet, burst, 0, 14_000)).filter(({rejections}) => rejections > 0);
	expect(rejected.length > 0.1 * capacity).toEqual(true);
	expect(fractionOf(rejected, ({rejections}) => rejections > 1) < 0.02).toEqual(true);
}

/** What holds in each fleet. */
export const loadChecks: ReadonlyArray<{readonly name: string; readonly check: (fleet: FleetCase) => void}> = [
	{name: 'a workspace that asks for seven times its share takes nothing from another', check: checkExcess},
	{name: 'a burst of less urgent requests does not make urgent ones late', check: checkUrgent},
	{name: 'callers that return at their time are not rejected again', check: checkReturns},
];
