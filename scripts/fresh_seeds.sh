#!/bin/bash
# Runs every property test with fresh seeds, which it draws and prints, for a
# bounded time. Usage: scripts/fresh_seeds.sh [SEEDS] [SECONDS] [CHECKS]
set -uo pipefail
cd "$(dirname "$0")/.."
seeds=${1:-50} limit=${2:-900} checks=${3:-10}
packages=$(grep -rl 'rapid\.Check' --include='*_test.go' . | xargs -n1 dirname | sort -u)
began=$SECONDS run=0 fell=0
for _ in $(seq "$seeds"); do
  if [ $((SECONDS - began)) -ge "$limit" ]; then
    echo "stopped after $limit s"
    break
  fi
  seed=$((RANDOM << 30 | RANDOM << 15 | RANDOM))
  run=$((run + 1))
  if ! out=$(go test $packages -count=1 -rapid.nofailfile -rapid.seed="$seed" -rapid.checks="$checks" 2>&1); then
    fell=$((fell + 1))
    echo "seed $seed failed"
    echo "$out" | grep -vE '^ok|no test files' | head -30
  else
    echo "seed $seed passed"
  fi
done
echo "$run seeds, $fell failed"
exit $((fell > 0))
