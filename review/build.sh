#!/usr/bin/env bash
# The scripts' stand-ins are plain modules on Node's own libraries: nothing has to be built. Checks that they parse.
set -euo pipefail
cd "$(dirname "$0")"
for module in standins.mjs */play.mjs; do
	node --check "$module"
done
