#!/bin/bash
# Builds the cases from 4 on, with the stand-ins that they start, below target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
for source in review/[4-8]/case.ts; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  node_modules/.bin/esbuild "$source" --bundle --platform=node --target=node20 --format=esm \
    --outfile="target/review-2/$number.mjs" --log-level=warning
done
