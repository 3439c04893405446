/** Guards against different requests with equal digests, and equal requests with different ones. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {RequestContent, type ContentParts} from './request-content.js';

const bytes = (text: string) => new TextEncoder().encode(text);
const base: ContentParts = {
	authority: 'calls.example', method: 'POST', target: '/a/1', workspace: undefined, body: bytes('question'),
};
const digestLength = 64;

type Case = {
	readonly name: string;
	readonly left?: Partial<ContentParts>;
	readonly right: Partial<ContentParts>;
	readonly isSame: boolean;
};

const cases: readonly Case[] = [
	{name: 'the same request at another host', right: {body: bytes('question')}, isSame: true},
	{name: 'the authority in another spelling', right: {authority: 'Calls.Example:8080'}, isSame: true},
	{name: 'another query beside the same body', right: {target: '/a/1?n=2'}, isSame: true},
	{
		name: 'another query without a body', left: {body: undefined, target: '/a/1?n=1'}, right: {body: undefined, target: '/a/1?n=2'}, isSame: false,
	},
	{
		name: 'no body and an empty one', left: {body: undefined}, right: {body: bytes('')}, isSame: true,
	},
	{name: 'another path', right: {target: '/a/2'}, isSame: false},
	{name: 'another authority', right: {authority: 'other.example'}, isSame: false},
	{name: 'another method', right: {method: 'PUT'}, isSame: false},
	{name: 'another body of the same length', right: {body: bytes('queztion')}, isSame: false},
	{name: 'another workspace', right: {workspace: 'guides'}, isSame: false},
	{
		name: 'a part moved from the path to the body', left: {target: '/a/1x', body: bytes('y')}, right: {target: '/a/1', body: bytes('xy')}, isSame: false,
	},
];

describe('request content', () => {
	for (const {name, left = {}, right, isSame} of cases) {
		it(`${name}: ${isSame ? 'the same' : 'another'}`, () => {
			const digests = [left, right].map(parts => new RequestContent({...base, ...parts}).digest);
			expect(digests[0] === digests[1]).toEqual(isSame);
			expect(digests[0]?.length).toEqual(digestLength);
		});
	}
});
