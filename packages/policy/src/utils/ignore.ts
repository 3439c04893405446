/** A callback for an outcome that nothing waits for. */

/** Does nothing. */
export function ignore(): void {
	// Nothing waits for the outcome
}
