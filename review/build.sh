#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/target. Needs target/amberpath.jar, which `build` of the deploy file leaves.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -d target standins/*.java
