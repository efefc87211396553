#!/bin/bash
# Builds the cases and every stand-in that they start, below target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
for source in review/[0-9]*/case.ts; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  node_modules/.bin/esbuild "$source" --bundle --platform=node --target=node20 --format=esm \
    --outfile="target/review/$number.mjs" --log-level=warning
done
