#!/bin/bash
# Builds the program that runs the scripted cases, with their stand-ins, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-cases ./review/_standin
