#!/usr/bin/env bash
# Plays this case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
program="$here/../../target/review-2/review-2"
[ -x "$program" ] || { echo "could not run: build with review/build-2.sh first"; exit 2; }
exec "$program" "$(basename "$here")" "$here"
