#!/usr/bin/env bash
# Plays the case. Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/marjoramrock ] && [ -x target/review-standins ] || { echo "build the deploy file and run review/build-2.sh first"; exit 2; }
exec target/review-standins quiet review/10/record.txt
