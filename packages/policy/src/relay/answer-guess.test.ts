/** What is learned of callers' guesses at their answers' lengths. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {seedRandom, type Random} from '../utils/random.js';
import {AnswerGuess} from './answer-guess.js';

const usualTokens = 800;
const tokenMs = 4;
const answers = 400;

/** A number around 0, of variance 1. */
function drawNormal(random: Random): number {
	let sum = 0;
	for (let index = 0; index < 12; index += 1) {
		sum += random.next();
	}

	return sum - 6;
}

/** Guesses whose answers spread by `spread` and which are off by `noise`, both of logarithms. */
function teach(spread: number, noise: number): AnswerGuess {
	const random = seedRandom(7);
	const guesses = new AnswerGuess();
	for (let index = 0; index < answers; index += 1) {
		const tokens = usualTokens * Math.exp(spread * drawNormal(random));
		guesses.learn(tokens * Math.exp(noise * drawNormal(random)), tokens * tokenMs);
	}

	return guesses;
}

type Case = {
	readonly name: string;
	readonly spread: number;
	readonly noise: number;
	readonly guess: number;
	readonly from: number;
	readonly to: number;
};

/** Best predictions: usual × (guess / usual) ** (spread² / (spread² + noise²)). */
const cases: readonly Case[] = [
	{
		name: 'true guesses are believed', spread: 0.7, noise: 0, guess: 3200, from: 2900, to: 3250,
	},
	{
		name: 'a noisy large guess is drawn to the usual', spread: 0.7, noise: 0.5, guess: 3200, from: 1800, to: 2300,
	},
	{
		name: 'a noisy small guess is drawn to the usual', spread: 0.7, noise: 0.5, guess: 200, from: 270, to: 360,
	},
	{
		name: 'guesses that say nothing keep some weight', spread: 0.1, noise: 1, guess: 3200, from: 1200, to: 1600,
	},
];

describe('guesses at answers', () => {
	for (const {
		name, spread, noise, guess, from, to,
	} of cases) {
		it(name, () => {
			const predicted = teach(spread, noise).predict(guess);
			expect(predicted >= from && predicted <= to).toEqual(true);
		});
	}

	it('are taken as they are until answers have ended', () => {
		expect(new AnswerGuess().predict(500)).toEqual(500);
		expect(new AnswerGuess().predict(0)).toEqual(0);
	});

	it('that are no numbers to learn from change nothing', () => {
		const guesses = new AnswerGuess();
		guesses.learn(0, 100);
		guesses.learn(100, 0);
		expect(guesses.predict(500)).toEqual(500);
	});
});
