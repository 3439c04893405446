/** One host process put together: its tasks, started and stopped in order. */
import {type Agent} from 'node:http';
import {Ledger} from '@gatehead/policy/core/ledger';
import {type Bundle} from '@gatehead/schema/bundle';
import {fail} from '@gatehead/schema/failure';
import {type AttemptParts} from './core/attempt.js';
import {BundleStore} from './core/bundle-store.js';
import {BundleWatch} from './core/bundle-watch.js';
import {Canceller} from './core/canceller.js';
import {makeContext, type Context, type ContextParts} from './core/context.js';
import {EngineClient} from './core/engine-client.js';
import {makeAgent} from './core/http-call.js';
import {PlatformClient} from './core/platform-client.js';
import {ThinDesk} from './core/thin-desk.js';
import {CallerFront} from './front/caller-front.js';
import {type FrontParts, type Job} from './front/parts.js';

/** A host process. */
export class Host {
	readonly context: Context;
	readonly bundles: BundleStore;
	readonly #agent: Agent = makeAgent();
	readonly #client = new EngineClient();
	readonly #canceller: Canceller;
	readonly #platform: PlatformClient;
	readonly #watch: BundleWatch;
	readonly #front: CallerFront;
	#callerAddress = '';

	constructor(parts: ContextParts) {
		const context = makeContext(parts);
		this.context = context;
		this.bundles = new BundleStore(context);
		this.#platform = new PlatformClient(context);
		this.#canceller = new Canceller(context, this.#client);
		this.#watch = new BundleWatch({
			context, bundles: this.bundles, platform: this.#platform, isWatcher: () => true,
		});
		const attempts: AttemptParts = {
			context, client: this.#client, canceller: this.#canceller, desk: new ThinDesk(() => this.#bundle(), context.random), findEngine: name => this.#bundle().engines.find(each => each.name === name),
		};
		const frontParts: FrontParts = {
			context, bundles: this.bundles, fleet: {list: () => [this.#ownRecord()]}, ledger: new Ledger<Job>(context.settings.limits.ledgerEntries), attempts,
		};
		this.#front = new CallerFront(frontParts, {context, agent: this.#agent, takesWork: () => true});
	}

	/** Starts all tasks. */
	async start(): Promise<void> {
		this.#watch.start();
		this.#callerAddress = await this.#front.listen();
		this.context.log('started', {caller: this.#callerAddress});
		this.context.timeline.note({kind: 'started'});
	}

	/** Stops at once; a planned stop waits before it calls this. */
	async stop(): Promise<void> {
		this.#watch.stop();
		await this.#front.close();
		this.#canceller.close();
		this.#client.close();
		this.#platform.close();
		this.#agent.destroy();
		this.context.counters.close();
	}

	#bundle(): Bundle {
		return this.bundles.inForce?.bundle ?? fail('notReady');
	}

	#ownRecord() {
		const {settings, self} = this.context;
		return {
			host: self.host, hall: settings.hall, region: settings.region, incarnation: self.incarnation, counter: 0, state: 'alive' as const, callerAddress: this.#callerAddress, peerAddress: settings.listen.peer, adminAddress: settings.listen.admin, bundleVersion: this.bundles.version, load: 0,
		};
	}
}
