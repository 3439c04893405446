#!/usr/bin/env node
/** Launcher of `gateheadctl`; outside `dist` so that npm can link it before the first build. */
import '../dist/main.js';
