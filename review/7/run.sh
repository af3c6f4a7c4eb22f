#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the cut out.
cd "$(dirname "$0")/../.." || exit 2
exec node dist/review-7.mjs
