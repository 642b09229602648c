#!/bin/sh
# Builds the stand-ins of the second review, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -encoding UTF-8 -cp target/quincecross.jar -d target/review-2 \
  review/standins-2/src/review/*.java
