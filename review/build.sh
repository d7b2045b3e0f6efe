#!/usr/bin/env bash
# Checks what the scripts start. The stand-ins are plain JavaScript and need no build.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]*/*.mjs more/*/*.mjs; do node --check "$file"; done
test -f ../target/box.mjs || { echo "run the build of deploy/system.toml first"; exit 1; }
