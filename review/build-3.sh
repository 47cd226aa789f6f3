#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
. build-tools/find-jdk
rm -rf target/review-3
mkdir -p target/review-3
"$JAVA_HOME/bin/javac" --release 21 -nowarn -d target/review-3 review/standins-3/src/*.java
