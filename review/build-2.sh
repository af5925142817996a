#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10, after the build of the deploy file. The project's own stand-ins are in
# target/amberpath.jar, which that build has made.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -s target/amberpath.jar ] || { echo "target/amberpath.jar is missing: run the build of deploy/balancer.toml first"; exit 2; }
classes=target/review-2
rm -rf "$classes"
mkdir -p "$classes"
javac --release 17 -d "$classes" review/standins-2/*.java
for case in 6 7 8 9 10; do
  if [ -d "review/$case" ]; then
    javac --release 17 -cp "$classes" -d "$classes" review/"$case"/*.java
  fi
done
