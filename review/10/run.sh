#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out.
set -eu
cd "$(dirname "$0")"
exec node run.mjs
