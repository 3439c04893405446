/** Receives the signals of this process from now on. Imported before everything else, which takes longer to load. */
import process from 'node:process';
import {ProcessSignals} from './process-signals.js';

export const ownSignals = new ProcessSignals(process);
