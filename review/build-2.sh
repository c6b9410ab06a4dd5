#!/usr/bin/env bash
# Prepares the stand-ins of the second review. They and the cases are modules of Node.js that need no compilation, so they are only checked here.
set -eu
cd "$(dirname "$0")"
for file in support-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  node --check "$file"
done
