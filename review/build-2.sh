#!/usr/bin/env bash
# Compiles the cases of the second review and their stand-ins.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target/classes-2
javac -d target/classes-2 shared-2/*.java [6-9]/*.java 10/*.java
