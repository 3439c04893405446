/** Does nothing; a callback for outcomes that can be ignored. */
export function ignore(): void {
	// Intentionally empty
}
