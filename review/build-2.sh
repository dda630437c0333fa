#!/bin/sh
# Checks the stand-ins of the second review's scripts; they are plain JavaScript and need no compiler.
cd "$(dirname "$0")" || exit 1
for file in lib-2/*.mjs [4-8]/*.mjs; do
  node --check "$file" || exit 1
done
