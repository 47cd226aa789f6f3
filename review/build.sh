#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of the deploy file. Needs no network.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../build-tools/find-jdk"
rm -rf "$here/../target/review"
mkdir -p "$here/../target/review"
"$JAVA_HOME/bin/javac" -nowarn -d "$here/../target/review" "$here"/standins/*.java
