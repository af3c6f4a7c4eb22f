#!/usr/bin/env bash
# The stand-ins of the cases are plain scripts for Node.js, which need no build; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs; do
	node --check "$file"
done
