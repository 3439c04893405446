/** Distinguishes a partitioned host from failed endpoints; a slow endpoint counts as neither. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {EndpointContacts, type GroupVerdict} from './endpoint-contacts.js';

const ids = ['a', 'b', 'c'];

/** What happens to an endpoint at a time. */
type Step = readonly ['send' | 'contact' | 'failure', string, number];

type Case = {
	readonly name: string;
	readonly group?: readonly string[];
	readonly steps: readonly Step[];
	readonly now: number;
	readonly verdict: GroupVerdict;
};

const cases: readonly Case[] = [
	{
		name: 'nothing was sent', steps: [], now: 10_000, verdict: {kind: 'reachable'},
	},
	{
		name: 'an empty group has no links to lose', group: [], steps: [], now: 0, verdict: {kind: 'reachable'},
	},
	{
		name: 'one endpoint fails and none was heard from since', steps: [['contact', 'a', 0], ['failure', 'a', 100]], now: 350, verdict: {kind: 'doubtful', candidates: ['b', 'c']},
	},
	{
		name: 'one endpoint fails while another answers', steps: [['failure', 'a', 100], ['contact', 'b', 120]], now: 350, verdict: {kind: 'reachable'},
	},
	{
		name: 'all endpoints fail', steps: [['contact', 'a', 50], ['failure', 'a', 100], ['failure', 'b', 110], ['failure', 'c', 120]], now: 400, verdict: {kind: 'unreachable'},
	},
	{
		name: 'all fail, then one is heard from', steps: [['failure', 'a', 100], ['failure', 'b', 110], ['failure', 'c', 120], ['contact', 'b', 500]], now: 600, verdict: {kind: 'reachable'},
	},
	{
		name: 'an attempt that began before the last contact proves nothing', steps: [['contact', 'b', 200], ['failure', 'a', 100], ['failure', 'b', 150], ['failure', 'c', 150]], now: 400, verdict: {kind: 'reachable'},
	},
	{
		name: 'a single endpoint fails', group: ['a'], steps: [['failure', 'a', 100]], now: 350, verdict: {kind: 'unreachable'},
	},
	{
		name: 'an endpoint is silent for half a second', steps: [['send', 'a', 100]], now: 600, verdict: {kind: 'reachable'},
	},
	{
		name: 'nothing is heard for longer', steps: [['send', 'a', 100]], now: 900, verdict: {kind: 'doubtful', candidates: ids},
	},
	{
		name: 'one endpoint is silent for longer while another answers', steps: [['send', 'a', 100], ['contact', 'b', 300]], now: 900, verdict: {kind: 'reachable'},
	},
	{
		name: 'a silent endpoint answers', steps: [['send', 'a', 100], ['contact', 'a', 800]], now: 900, verdict: {kind: 'reachable'},
	},
];

describe('contacts with endpoints', () => {
	for (const {name, group = ids, steps, now, verdict} of cases) {
		it(name, () => {
			const contacts = new EndpointContacts();
			const record: Readonly<Record<Step[0], (id: string, at: number) => void>> = {
				send(id, at) {
					contacts.recordSend(id, at);
				},
				contact(id, at) {
					contacts.recordContact(id, at);
				},
				failure(id, at) {
					contacts.recordFailure(id, at);
				},
			};
			for (const [step, id, at] of steps) {
				record[step](id, at);
			}

			expect(contacts.judge(group, now)).toEqual(verdict);
		});
	}

	it('a large group is judged by a sample', () => {
		const contacts = new EndpointContacts();
		const many = Array.from({length: 60}, (_, index) => `e${index}`);
		for (const id of many.slice(0, 7)) {
			contacts.recordFailure(id, 100);
		}

		const before = contacts.judge(many, 400);
		contacts.recordFailure('e30', 110);
		expect({before, after: contacts.judge(many, 400)}).toEqual({before: {kind: 'doubtful', candidates: ['e7']}, after: {kind: 'unreachable'}});
	});
});
