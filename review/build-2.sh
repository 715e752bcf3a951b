#!/usr/bin/env bash
# Builds the stand-ins and the scripts of the second review into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
bundle() {
  node_modules/.bin/esbuild "$1" --bundle --alias:dtrace-provider=./deploy/absent_module.cjs --alias:mv=./deploy/absent_module.cjs --alias:source-map-support=./deploy/absent_module.cjs --platform=node --target=node20 --format=cjs \
    --log-level=warning --outfile="target/review-2/$2.cjs"
}
bundle review/store_2.ts store
for case in review/[0-9]*/run.ts; do
  bundle "$case" "case-$(basename "$(dirname "$case")")"
done
