#!/usr/bin/env bash
# Builds the stand-ins and cases of review/6 to review/10 into target/review-2. Needs the build of
# the deploy file before a case is run, but not for this build.
set -euo pipefail
cd "$(dirname "$0")/.."
. build-tools/find-jdk
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" --release 21 -d target/review-2 review/standins-2/review2/*.java
