#!/bin/bash
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -e target/serve.cjs ] && [ -e target/review/2.mjs ] || exit 2
exec node target/review/2.mjs
