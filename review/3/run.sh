#!/bin/sh
# Runs the case "missing-key". Exit code: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves out the
# disruption. Needs the deploy build and review/build.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
[ -x "$root/bin/canvasroute" ] && [ -x "$root/review/bin/review" ] || { echo "not built" >&2; exit 2; }
exec "$root/review/bin/review" "$root" "$folder" missing-key
