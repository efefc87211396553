#!/bin/sh
# Builds the scripts of cases 9 to 13 with all stand-ins that they start, the project's own too.
set -e
cd "$(dirname "$0")/.."
for file in review/9/case.ts review/1[0-3]/case.ts; do
  [ -f "$file" ] || continue
  number=$(basename "$(dirname "$file")")
  npx esbuild "$file" --bundle --platform=node --target=node20 --format=cjs \
    --outfile="target/review-3/case-$number.cjs" --log-level=warning
done
