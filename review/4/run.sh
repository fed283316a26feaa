#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out. Exits with 1 if the
# rule was broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review/4 ] || { echo "run review/build.sh first" >&2; exit 2; }
exec ../../target/review/4 ../..
