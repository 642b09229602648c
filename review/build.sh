#!/usr/bin/env bash
# Builds the stand-ins of all cases; they need nothing but the JDK.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -d target/review review/standins/*.java
