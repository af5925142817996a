#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")"
root=$(cd ../.. && pwd)
[ -f "$root/target/amberpath.jar" ] && [ -f ../target/ManyAtOnce.class ] || exit 2
timeout -k 5 115 java -Xmx1g -Droot="$root" -cp ../target ManyAtOnce .
code=$?
[ $code -le 1 ] || code=2
exit $code
