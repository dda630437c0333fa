#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the minion that refuses.
cd "$(dirname "$0")" || exit 2
node case.mjs
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
