/** Exchanges with endpoints, recorded as evidence of this host's links to them. */
import {type Endpoint} from '@gatehead/schema/routing';
import {type Endpoints} from './endpoints.js';
import {
	exchange, ExchangeError, type ExchangeOptions, type OutgoingRequest, type VerifiedResponse,
} from './exchange.js';

/** Makes an exchange over the endpoint's connection pool; rejects with an `ExchangeError`. */
export async function exchangeWith<Facts>(endpoints: Endpoints, endpoint: Endpoint, outgoing: Omit<OutgoingRequest, 'address'>, options: ExchangeOptions<Facts>): Promise<VerifiedResponse<Facts>> {
	const {clock} = options;
	const startedAt = clock.now();
	endpoints.contacts.recordSend(endpoint.id, startedAt);
	const recordContact = () => {
		endpoints.contacts.recordContact(endpoint.id, clock.now());
	};

	try {
		const verified = await exchange({...outgoing, address: endpoint.address}, endpoints.connectionsOf(endpoint), {...options, releasesBody: true, onConnected: recordContact});
		recordContact();
		return verified;
	} catch (error) {
		if (error instanceof ExchangeError && error.isLinkFailure) {
			endpoints.recordLinkFailure(endpoint, startedAt);
		}

		throw error;
	}
}
