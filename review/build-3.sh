#!/bin/sh
# Prepares the scripts of the third review (9 to 13), after the `build` of the deploy file. Their stand-ins in
# review/stand-ins-3 are modules of Node.js without a dependency, so nothing is compiled: each is only checked.
cd "$(dirname "$0")/.." || exit 1
for program in entry scheduler agent; do
  [ -f "target/$program.mjs" ] || { echo "target/$program.mjs is missing: run the build of the deploy file" >&2; exit 1; }
done
for file in review/stand-ins-3/*.mjs review/9/*.mjs review/1[0-3]/*.mjs; do
  [ ! -f "$file" ] || node --check "$file" || exit 1
done
