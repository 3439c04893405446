/** Takes out one mechanism in a test's wiring, to show that the matrix can fail. */
import {Canceller} from '@gatehead/host/core/canceller';
import {TokenStream} from '@gatehead/host/core/token-stream';
import {BundleStore} from '@gatehead/host/core/bundle-store';
import {OrphanSearch} from '@gatehead/host/keeper/orphan-search';
import {Host} from '@gatehead/host/host';
import {Membership} from '@gatehead/host/peer/membership';
import {Ledger} from '@gatehead/policy/core/ledger';
import {ignore} from '@gatehead/policy/utils/ignore';
import {Failure} from '@gatehead/schema/failure';

/** A mechanism with a cell that breaks without it, and the promise that breaks there. */
export type Mutant = {
	readonly step: string;
	readonly fault: string;
	readonly promise: string;
	readonly takeOut: () => void;
};

/** Mechanisms by name. */
export const mutants: Readonly<Record<string, Mutant>> = {
	cancels: {
		step: 'decode stream', fault: 'caller cancels', promise: 'memory freed', takeOut() {
			Canceller.prototype.cancel = ignore;
			OrphanSearch.prototype.findOrphans = () => [];
		},
	},
	'orphan search': {
		step: 'decode stream', fault: 'owner dies', promise: 'memory freed', takeOut() {
			OrphanSearch.prototype.findOrphans = () => [];
		},
	},
	ledger: {
		step: 'admission', fault: 'duplicated delivery', promise: 'at most once', takeOut() {
			const {enter} = Ledger.prototype;
			let made = 0;
			Ledger.prototype.enter = function (call, now) {
				made += 1;
				return enter.call(this, {...call, id: `${made}${call.id}`}, now);
			};
		},
	},
	'token numbers': {
		step: 'decode stream', fault: 'reset after', promise: 'own answer', takeOut() {
			const {append} = TokenStream.prototype;
			TokenStream.prototype.append = function (_n, text) {
				return append.call(this, this.tokens.length, `${text}!`);
			};
		},
	},
	'bundle versions': {
		step: 'bundle adoption', fault: 'configuration stale', promise: 'bundle in force', takeOut() {
			Object.defineProperty(BundleStore.prototype, 'version', {get: () => 0});
		},
	},
	'leaving endpoints': {
		step: 'lookup', fault: 'endpoint leaves', promise: 'leaving gets no work', takeOut() {
			Object.defineProperty(Membership.prototype, 'leavingEndpoints', {get: () => new Set()});
		},
	},
	'planned stop': {
		step: 'planned stop', fault: 'configuration down', promise: 'planned stop cuts nothing', takeOut() {
			const {stop} = Host.prototype;
			Host.prototype.stop = async function () {
				await this.close();
				await stop.call(this);
			};
		},
	},
	'truth of refusals': {
		step: 'lookup', fault: 'reset after', promise: 'not run is true', takeOut() {
			Object.defineProperty(Failure.prototype, 'ran', {get: () => 'no'});
		},
	},
};

/** Takes out a mechanism; an empty name takes out nothing. */
export function disable(name: string): void {
	mutants[name]?.takeOut();
}
