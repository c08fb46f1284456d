#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/marjoramrock ] && [ -x target/_servers ] || exit 2
# TROUBLE=0 leaves the disruption out.
exec target/_servers reset "$here/record.txt" "${TROUBLE:-1}"
