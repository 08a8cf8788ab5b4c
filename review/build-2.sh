#!/bin/sh
# Builds the stand-ins of the second review. Needs the JDK only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/standins-2/src/*.java
