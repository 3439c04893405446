#!/usr/bin/env node
/** The `gatehead` binary; it stands here so that npm links it before the first build. */
import '../dist/main.js';
