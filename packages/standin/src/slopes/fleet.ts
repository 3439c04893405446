/** A synthetic deployment of any size, for measuring what control costs a host. */
import {bundle as bundleSchema, type Bundle} from '@gatehead/schema/bundle';
import {digestOf} from '@gatehead/schema/canonical-json';

const halls = ['hall-1', 'hall-2', 'hall-3', 'hall-4', 'hall-5', 'hall-6'];
const decodesPerPrefill = 2;

/** What is synthesized. */
export type FleetShape = {
	readonly engines: number;
	readonly models: number;
	readonly callers: number;
};

/** A bundle with as many engines, models and callers as wished. */
export function synthesizeBundle({engines, models, callers}: FleetShape): Bundle {
	const names = Array.from({length: models}, (_, index) => `model-${index}`);
	return bundleSchema.parse({
		deployment: 'slopes',
		version: 1,
		models: names.map(name => ({
			name, version: 'one', windowTokens: 32_768, kvBytesPerToken: 131_072, adapters: [],
		})),
		engines: Array.from({length: engines}, (_, index) => ({
			name: `engine-${index}`,
			hall: halls[index % halls.length],
			address: '127.0.0.1:1',
			pool: 'pool',
			role: Math.floor(index / models) % (decodesPerPrefill + 1) === 0 ? 'prefill' : 'decode',
			model: names[index % models],
			slots: 8,
		})),
		callers: Array.from({length: callers}, (_, index) => ({
			name: `workspace-${index}`, member: `member-${index % 20}`, priority: index % 3, share: 1 + (index % 4), tokenDigest: digestOf(`demo-workspace-${index}`),
		})),
		rules: {
			objective: 'goodput', targets: [0, 1, 2].map(priority => ({priority, ttftMs: 530, tokenMs: 74})),
		},
	});
}
