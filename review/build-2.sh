#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, against the jar that the deploy file's build made.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -cp target/arbutusfield.jar -d target/review-2 review/src-2/*.java
