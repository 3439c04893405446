/** Cuts a `partitionable-host` off from its peers, or joins it to them again. */
export const partitionSignal = 'SIGUSR2';
