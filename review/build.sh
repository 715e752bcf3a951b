#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review; run the build of the deploy file before it.
set -eu
cd "$(dirname "$0")/.."
node_modules/.bin/esbuild review/*/case.ts --bundle --platform=node --target=node20 --format=esm \
  --packages=external --out-extension:.js=.mjs --outbase=review --outdir=target/review \
  --log-level=warning
