#!/usr/bin/env bash
# Prepares the stand-ins. They and the cases are modules of Node.js that need no compilation, so they are only checked here.
set -eu
cd "$(dirname "$0")"
for file in support/*.mjs [0-9]/*.mjs; do
  node --check "$file"
done
