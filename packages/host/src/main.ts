#!/usr/bin/env node
/** Entry point of `gatehead`. Receives signals before it loads the rest, as imports of a module are all loaded before the first one runs. */
import {ownSignals} from './utils/own-signals.js';

const {runProcess} = await import('./process.js');
await runProcess(ownSignals);
