#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review-2 ] || { echo "run review/build-2.sh first"; exit 2; }
exec java -Xmx512m -cp target/review-2 OtherCell review/7
