/** Load of the services for operators: each part adds its own fields. */
import {type ServiceState, type WaitingState} from '@gatehead/schema/relay-status';

/** Fields that a part adds to the state of a service; those that it has nothing to say about are absent. */
export type ServiceView = (service: string, now: number) => Partial<Omit<ServiceState, 'service' | 'ready' | 'paused'>>;

/** A request that waits for a service. */
type WaitingRequest = {
	readonly urgency: number;
	readonly workspace: string | undefined;
};

/** Fields of all views for one service. */
export function describeService(views: readonly ServiceView[], service: string, now: number): Partial<ServiceState> {
	let fields: Partial<ServiceState> = {};
	for (const view of views) {
		fields = {...fields, ...view(service, now)};
	}

	return fields;
}

/** Counts waiting requests by urgency and workspace, the most urgent first. */
export function countWaiting(requests: Iterable<WaitingRequest>): WaitingState[] {
	const counts = new Map<string, WaitingState>();
	for (const {urgency, workspace} of requests) {
		const key = `${urgency} ${workspace ?? ''}`;
		counts.set(key, {urgency, workspace, count: (counts.get(key)?.count ?? 0) + 1});
	}

	return [...counts.values()].toSorted((left, right) => left.urgency - right.urgency || right.count - left.count);
}
