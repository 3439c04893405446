#!/usr/bin/env bash
# Builds the stand-ins of cases 4 to 8. They are plain scripts (bed-2.mjs, replica-2.mjs) that need no build; this
# checks that they, the cases and the built program are there and can be read.
set -euo pipefail
cd "$(dirname "$0")/.."
for script in review/bed-2.mjs review/replica-2.mjs review/[4-8]/case.mjs; do
	[ ! -e "$script" ] || node --check "$script"
done
test -e target/launch.cjs
