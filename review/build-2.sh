#!/bin/bash
# Builds the stand-ins of the second review's scripts.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/_standin-2
