#!/usr/bin/env node
/** The `gateheadctl` binary, for operators. */
import process from 'node:process';

process.stdout.write('gateheadctl 0.1.0\n');
