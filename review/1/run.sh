#!/usr/bin/env bash
# Exits with 1 when the rule was broken, 0 when it held, 2 when the case could not run. TROUBLE=0 in the
# environment leaves out the disruption; the program reads it. It ends its processes when it is ended.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../../build-tools/find-jdk" || exit 2
[ -d "$here/../../target/review" ] || { echo "run review/build.sh first" >&2; exit 2; }
export TROUBLE=${TROUBLE:-1}
"$JAVA_HOME/bin/java" -XX:+UseSerialGC -Xmx64m -cp "$here/../../target/review" \
  review.ReplacedThenWiped "$here/../.." "$here" &
child=$!
trap 'kill "$child" 2> /dev/null; wait "$child"; exit 2' TERM INT HUP
wait "$child"
case $? in 10) exit 0 ;; 11) exit 1 ;; *) exit 2 ;; esac
