#!/usr/bin/env node
/** Entry point of the `gatehead` command. Kept outside dist so that npm can link it before the first build. */
import '../dist/main.js';
