/** Plain calls in flight at endpoints, as other hosts last reported them. */
import {type LoadReport} from '@gatehead/schema/relay-message';

/** Time after which the calls of a host that has not reported again no longer count, in milliseconds: somewhat longer than the suspicion timeout. */
const reportLifeMs = 2500;

type Report = {
	readonly at: number;
	readonly calls: ReadonlyMap<string, number>;
};

/** Calls in flight by service and host. */
export class ReportedCalls {
	readonly #services = new Map<string, Map<string, Report>>();

	/** Replaces what a host reported for a service. */
	set(service: string, host: string, inFlight: LoadReport['inFlight'], now: number): void {
		const reports = this.#services.get(service) ?? new Map<string, Report>();
		this.#services.set(service, reports);
		for (const [other, {at}] of reports) {
			if (now - at >= reportLifeMs) {
				reports.delete(other);
			}
		}

		if (inFlight.length === 0) {
			reports.delete(host);
			return;
		}

		reports.set(host, {at: now, calls: new Map(inFlight.map(({endpoint, count}) => [endpoint, count]))});
	}

	/** Calls of other hosts in flight at an endpoint of a service. */
	sum(service: string, endpoint: string, now: number): number {
		let sum = 0;
		for (const {at, calls} of this.#services.get(service)?.values() ?? []) {
			sum += now - at < reportLifeMs ? calls.get(endpoint) ?? 0 : 0;
		}

		return sum;
	}
}
