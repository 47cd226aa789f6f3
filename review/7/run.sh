#!/usr/bin/env bash
# Runs the case: ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
set -u
home=$(cd "$(dirname "$0")/../.." && pwd)
[ -x "$home/target/runtime/bin/java" ] && [ -d "$home/target/review-2" ] || exit 2
exec "$home/target/runtime/bin/java" -Xmx512m -cp "$home/target/review-2" \
  review2.LeftoverBytes "$home" "$home/review/7"
