#!/bin/sh
# Runs the case "push". With TROUBLE=0 it does the same without the disruption. Exit code: 1 if the rule was broken, 0 if
# it held, 2 if the case could not run. It needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/canvasroute ] && [ -x bin/review-2 ] || { echo "not built" >&2; exit 2; }
TROUBLE="${TROUBLE:-1}" exec bin/review-2 -root . -record review/9/record.txt push
