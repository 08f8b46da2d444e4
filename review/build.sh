#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review into target/review. Needs only the JDK; the build
# of deploy/system.toml makes the program that the cases start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
find review -name '*.java' -print0 | xargs -0 javac -Xlint:none -d target/review
