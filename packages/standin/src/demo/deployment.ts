/** Starts one deployment on loopback: the platform, its engines and services in this process, and real `gatehead` processes. */
import {spawn, type ChildProcess} from 'node:child_process';
import {generateKeyPairSync, randomBytes, type KeyObject} from 'node:crypto';
import {once} from 'node:events';
import {
	mkdirSync, openSync, readFileSync, writeFileSync,
} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {bundle as bundleSchema, type Bundle} from '@gatehead/schema/bundle';
import {digestOf} from '@gatehead/schema/canonical-json';
import {bundleKey, type ListedHost} from '@gatehead/schema/platform-protocol';
import {type SettingsDraft} from '@gatehead/schema/settings';
import {signBundle} from '@gatehead/schema/signed-bundle';
import {systemClock} from '@gatehead/policy/utils/clock';
import {startEngine, type StandinEngine} from '../engine/engine-server.js';
import {traitsOf} from '../engine/traits.js';
import {startPlatform, type StandinPlatform} from '../platform/platform-server.js';
import {startService, type StandinService} from '../service/service-server.js';
import {findAddresses} from '../utils/ports.js';

const anyPort = '127.0.0.1:0';
const ticketKeyBytes = 32;
const binary = fileURLToPath(new URL('../../../host/dist/main.js', import.meta.url));
const examples = fileURLToPath(new URL('../../../../examples/', import.meta.url));

/** Operator's token of all demo processes, for the administration interface. */
export const adminToken = 'demo-operator';

/** A running host process. */
export type HostProcess = {
	readonly name: string;
	readonly hall: string;
	readonly callerAddress: string;
	readonly adminAddress: string;
	readonly settingsFile: string;
	readonly logFile: string;
	child: ChildProcess;
};

/** A running deployment. */
export type Deployment = {
	readonly name: string;
	readonly bundle: Bundle;
	readonly platform: StandinPlatform;
	readonly engines: readonly StandinEngine[];
	readonly services: ReadonlyMap<string, StandinService>;
	readonly hosts: readonly HostProcess[];
	/** Signs and publishes a bundle as the operators would. */
	publish(value: Bundle): void;
	/** Ends all that was started. */
	stop(): Promise<void>;
};

/** Reads an example bundle. */
export function readExample(name: string): Bundle {
	return bundleSchema.parse(JSON.parse(readFileSync(join(examples, name, 'bundle.json'), 'utf8')));
}

/** Starts the example's engines and gives their real addresses to the bundle. */
async function startEngines(example: Bundle): Promise<StandinEngine[]> {
	const engines: StandinEngine[] = [];
	for (const engine of example.engines) {
		const model = example.models.find(each => each.name === engine.model);
		engines.push(await startEngine(traitsOf(engine, model?.kvBytesPerToken ?? 1, model?.version ?? ''), systemClock, anyPort));
	}

	return engines;
}

async function startServices(example: Bundle): Promise<Map<string, StandinService>> {
	const services = new Map<string, StandinService>();
	for (const {replicas} of example.services) {
		for (const {name} of replicas) {
			if (!services.has(name)) {
				services.set(name, await startService(systemClock, anyPort));
			}
		}
	}

	return services;
}

function withAddresses(example: Bundle, engines: readonly StandinEngine[], services: ReadonlyMap<string, StandinService>): Bundle {
	return {
		...example,
		engines: example.engines.map((engine, index) => ({...engine, address: engines[index]?.address ?? engine.address})),
		services: example.services.map(service => ({
			...service, replicas: service.replicas.map(replica => ({...replica, address: services.get(replica.name)?.address ?? replica.address})),
		})),
	};
}

/** Names and halls of a deployment's hosts, dealt round over its halls. */
function nameHosts({engines}: Bundle, count: number): Array<{readonly name: string; readonly hall: string}> {
	const halls = [...new Set(engines.map(each => each.hall))];
	return Array.from({length: count}, (_, index) => {
		const hall = halls[index % halls.length] ?? 'hall';
		return {name: `${hall}-entry-${Math.floor(index / halls.length) + 1}`, hall};
	});
}

/** Starts one `gatehead` process. */
export function spawnHost(settingsFile: string, logFile: string): ChildProcess {
	const log = openSync(logFile, 'a');
	return spawn(process.execPath, [binary, '--settings', settingsFile], {stdio: ['ignore', log, log]});
}

/** What a deployment is started with. */
export type DeploymentPlan = {
	readonly example: Bundle;
	readonly hostCount: number;
	/** Folder for settings and logs. */
	readonly folder: string;
	readonly timing?: SettingsDraft['timing'];
};

/** Writes the list of hosts that gateheadctl reads. */
export function writeFleet(hosts: readonly HostProcess[], path: string): void {
	writeFileSync(path, JSON.stringify({hosts: hosts.map(({name, adminAddress}) => ({host: name, adminAddress}))}, null, '\t'));
}

type Keys = {
	readonly privateKey: KeyObject;
	readonly publicPem: string;
	readonly ticketKey: string;
};

function makeKeys(): Keys {
	const {privateKey, publicKey} = generateKeyPairSync('ed25519');
	return {privateKey, publicPem: publicKey.export({type: 'spki', format: 'pem'}).toString(), ticketKey: randomBytes(ticketKeyBytes).toString('hex')};
}

async function startHosts({example, hostCount, folder, timing}: DeploymentPlan, platform: StandinPlatform, keys: Keys): Promise<HostProcess[]> {
	const named = nameHosts(example, hostCount);
	const addresses = await findAddresses(hostCount * 3);
	const addressOf = (index: number) => addresses[index] ?? anyPort;
	const listed: ListedHost[] = named.map(({name, hall}, index) => ({
		host: name, hall, region: 'default', callerAddress: addressOf(index * 3), peerAddress: addressOf((index * 3) + 1), adminAddress: addressOf((index * 3) + 2), state: 'live',
	}));
	platform.list(listed);
	const hosts: HostProcess[] = [];
	for (const {host, hall, callerAddress, peerAddress, adminAddress} of listed) {
		const draft: SettingsDraft = {
			host,
			hall,
			deployment: example.deployment,
			listen: {caller: callerAddress, peer: peerAddress, admin: adminAddress},
			platform: {configuration: platform.address, hosts: platform.address},
			keys: {tickets: [keys.ticketKey], operators: [{name: 'operator', publicKey: keys.publicPem}], adminTokenDigest: digestOf(adminToken)},
			timing,
		};
		const settingsFile = join(folder, `${host}.json`);
		const logFile = join(folder, `${host}.log`);
		writeFileSync(settingsFile, JSON.stringify(draft, null, '\t'));
		hosts.push({
			name: host, hall, callerAddress, adminAddress, settingsFile, logFile, child: spawnHost(settingsFile, logFile),
		});
	}

	return hosts;
}

/** Starts a deployment. */
export async function startDeployment(plan: DeploymentPlan): Promise<Deployment> {
	mkdirSync(plan.folder, {recursive: true});
	const {example} = plan;
	const platform = await startPlatform(systemClock, anyPort);
	const engines = await startEngines(example);
	const services = await startServices(example);
	const bundle = withAddresses(example, engines, services);
	const keys = makeKeys();
	const publish = (value: Bundle) => {
		platform.publish(bundleKey, JSON.stringify(signBundle(value, 'operator', keys.privateKey)));
	};

	publish(bundle);
	const hosts = await startHosts(plan, platform, keys);
	return {
		name: example.deployment,
		bundle,
		platform,
		engines,
		services,
		hosts,
		publish,
		async stop() {
			await stopAll(hosts);
			for (const standin of [platform, ...engines, ...services.values()]) {
				await standin.kill();
			}
		},
	};
}

/** Ends host processes, each by its own id. */
async function stopAll(hosts: readonly HostProcess[]): Promise<void> {
	for (const {child} of hosts) {
		if (child.exitCode === null && child.signalCode === null) {
			const exited = once(child, 'exit');
			child.kill('SIGKILL');
			await exited;
		}
	}
}
