#!/usr/bin/env bash
# Bundles the drivers of the cases 6 to 10 with their stand-ins into dist/review-N.mjs.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/{6,7,8,9,10}/run.ts; do
	[ -f "$file" ] || continue
	npx esbuild "$file" --bundle --platform=node --target=node20 --format=esm --log-level=warning \
		--banner:js="import {createRequire as createRequireForBundle} from 'node:module'; const require = createRequireForBundle(import.meta.url);" \
		--outfile="dist/review-$(basename "$(dirname "$file")").mjs"
done
