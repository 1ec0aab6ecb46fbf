#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start, against the jar that the deploy file's build made.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -nowarn --release 17 -cp target/arbutusfield.jar -d target/review-3 review/src-3/*.java
