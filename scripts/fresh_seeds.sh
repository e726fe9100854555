#!/bin/bash
# Runs every property test with SEEDS random seeds and CHECKS checks per seed,
# starts no further seed after SECONDS, and prints each seed with its result.
#
#   scripts/fresh_seeds.sh [SEEDS] [SECONDS] [CHECKS]
set -uo pipefail
cd "$(dirname "$0")/.."
seeds=${1:-50} limit=${2:-900} checks=${3:-10}
files=$(grep -rl 'rapid\.Check' --include='*_test.go' .)
packages=$(dirname $files | sort -u)
# Tests that call rapid.Check, except those with fixed seeds.
tests=$(awk '/^func Test/ {split($2, name, "("); test = name[1]} /rapid\.Check\(t,/ {print test}' $files | grep -v FailedSeeds | sort -u | paste -sd'|')
start=$SECONDS run=0 failures=0
for _ in $(seq "$seeds"); do
  if [ $((SECONDS - start)) -ge "$limit" ]; then
    echo "stopped after $limit s"
    break
  fi
  seed=$((RANDOM << 30 | RANDOM << 15 | RANDOM))
  run=$((run + 1))
  if ! out=$(go test $packages -run "^($tests)\$" -count=1 -rapid.nofailfile -rapid.seed="$seed" -rapid.checks="$checks" 2>&1); then
    failures=$((failures + 1))
    echo "seed $seed failed"
    echo "$out" | grep -vE '^ok|no test files' | head -30
  else
    echo "seed $seed passed"
  fi
done
echo "$run seeds, $failures failed"
exit $((failures > 0))
