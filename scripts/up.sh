#!/bin/bash
# Starts a deployment of examples/ as separate processes on loopback: stand-ins
# for the platform and the upstreams, and the entry hosts. Then applies the
# configuration and grants one key. Stops all processes on Ctrl-C or, if COMMAND
# is given, when COMMAND ends.
#
#   scripts/up.sh [DEPLOYMENT [COMMAND...]]
#   scripts/up.sh local
#   scripts/up.sh local scripts/smoke.sh
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:-local}
shift || true
dir=examples/$deployment
run=$(mktemp -d)
go build -o "$run/celerypin" ./cmd/celerypin

pids=()
stop() {
  trap - EXIT INT TERM
  kill "${pids[@]}" 2>/dev/null || true
  wait "${pids[@]}" 2>/dev/null || true
  echo "stopped; logs are in $run"
}
trap stop EXIT
trap 'exit 130' INT TERM

start() {
  local name=$1
  shift
  "$run/celerypin" "$@" >"$run/$name.log" 2>&1 &
  pids+=($!)
}

start platform standin platform --config "$dir/platform.json"
start upstreams standin upstream --config "$dir/upstreams.json"
for attempt in $(seq 50); do
  grep -q Serving "$run/upstreams.log" && break
  if [ "$attempt" = 25 ]; then start upstreams standin upstream --config "$dir/upstreams.json"; fi
  sleep 0.1
done
hosts=()
for file in "$dir"/*.json; do
  if grep -q caller_listen "$file"; then
    start "$(basename "$file" .json)" serve --config "$file"
    hosts+=("$(sed -n 's/.*"caller_listen": "\(.*\)".*/\1/p' "$file")")
  fi
done
export CELERYPIN=$run/celerypin CELERYPIN_HOST=${hosts[0]} CELERYPIN_HOSTS="${hosts[*]}" CELERYPIN_LOGS=$run
CELERYPIN_TOKEN=$(sed -n 's/.*"operator_token": "\(.*\)".*/\1/p' "$dir"/*-1.json | head -1)
export CELERYPIN_TOKEN CELERYPIN_CONFIG=$dir/config.json
export CELERYPIN_KEY=${CELERYPIN_KEY:-an-example-key-of-a-caller}
account=$(sed -n 's/.*"id": "\(.*\)".*/\1/p' "$dir/config.json" | head -1)
for attempt in $(seq 50); do
  "$CELERYPIN" hosts list >"$run/hosts.txt" 2>/dev/null && [ "$(grep -c serving "$run/hosts.txt")" = "${#hosts[@]}" ] && break
  sleep 0.2
done
"$CELERYPIN" config apply "$dir/config.json"
printf '%s\n' "$CELERYPIN_KEY" | "$CELERYPIN" key grant --account "$account"
echo "up: ${#hosts[@]} hosts at ${hosts[*]}; logs are in $run"
if [ $# -gt 0 ]; then
  "$@"
else
  echo "press Ctrl-C to stop"
  wait
fi
