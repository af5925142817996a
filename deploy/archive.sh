#!/usr/bin/env bash
# Creates target/amberpath.jsa, a class data sharing archive of the classes that a gateway loads to start, process one GET
# and stop. Gateways map it when they start; without it they start more slowly and use more memory (docs/gateway.md).
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cat > "$work/config.json" <<'JSON'
{"seed":"1","listen":"127.0.0.1:0","journal":"127.0.0.1:1",
"known":{"pos":1,"entries":[{"pos":1,"hosts":{"reset":true,"instances":[{"instanceId":"c","hostPort":"127.0.0.1:1","zone":"z",
"machineType":"box","lifecycle":"ready"}]}}]},
"settings":{"my-zone":"z","kinds":["box"],"classes":[{"name":"p","idempotency":"repeatable","target-s":0.1}],
"bounds":{"max-attempts":2}}}
JSON
# An archive is valid only for the JVM flags that it was created with, so they are taken from the gateway's start command.
flags=$(sed -n 's/^run = "exec java \(.*\) -XX:SharedArchiveFile=[^ ]* -jar .*/\1/p' deploy/balancer.toml)
rm -f target/amberpath.jsa
PROXY_CONFIG="$work/config.json" java $flags -XX:ArchiveClassesAtExit=target/amberpath.jsa \
  -jar target/amberpath.jar serve > "$work/log" 2>&1 &
gateway=$!
for _ in $(seq 200); do
  port=$(sed -n 's/.*listens at 127\.0\.0\.1:\([0-9]*\).*/\1/p' "$work/log")
  [ -n "$port" ] && break
  sleep 0.1
done
# One GET: [0, 1, "p", [{ref, lookup, allow, chunk}, bin]]; the response is an error, since nothing listens on the cache's port.
exec 3<> "/dev/tcp/127.0.0.1/$port"
printf '\x94\x00\x01\xa1p\x92\x84\xa3ref\xb00123456789abcdef\xa6lookup\xb00123456789abcdef\xa5allow\xa4%s\xa5chunk\xa10\xc4\x00' \
  1000 >&3
head -c 4 <&3 > /dev/null
exec 3>&-
kill "$gateway"
wait "$gateway" || true
[ -s target/amberpath.jsa ] || { cat "$work/log"; exit 1; }
