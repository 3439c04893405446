/** Format and lint rules: XO's own, with the few that clash with the house style set here. */
const configuration = [
	{ignores: ['**/dist/**']},
	{
		files: ['**/*.ts'],
		rules: {
			// The house style asks for lookup tables keyed by wire names and HTTP headers.
			'@typescript-eslint/naming-convention': 'off',
			// Attempts, retries and ticks follow each other on purpose.
			'no-await-in-loop': 'off',
			// Hashing and random numbers work on bits.
			'no-bitwise': 'off',
			// An empty callback says that nothing waits for the outcome.
			'@typescript-eslint/no-empty-function': 'off',
			// Tasks own their work; a promise that is not awaited is marked with `void`.
			'no-void': ['error', {allowAsStatement: true}],
		},
	},
	{
		files: ['packages/*/bin/*.js'],
		rules: {
			// A binary runs what it imports.
			'import-x/no-unassigned-import': 'off',
		},
	},
	{
		files: ['**/*.test.ts'],
		rules: {
			// Node's test runner waits for its own suites and cases.
			'@typescript-eslint/no-floating-promises': 'off',
		},
	},
];

export default configuration;
