#!/bin/sh
# Builds the stand-ins. They are plain JavaScript modules without dependencies, so this only checks that each one loads.
cd "$(dirname "$0")" || exit 1
for file in lib/*.mjs [0-9]/*.mjs; do
  node --check "$file" || exit 1
done
