#!/usr/bin/env bash
# Exits with 1 when the rule was broken, 0 when it held, 2 when the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../../build-tools/find-jdk" || exit 2
[ -d "$here/../../target/review" ] || { echo "run review/build.sh first" >&2; exit 2; }
"$JAVA_HOME/bin/java" -XX:+UseSerialGC -Xmx64m -cp "$here/../../target/review" \
  review.OrderAfterRestart "$here/../.." "$here"
code=$?
case $code in 0 | 1 | 2) exit $code ;; *) exit 2 ;; esac
