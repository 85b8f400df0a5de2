#!/usr/bin/env bash
# Builds the stand-in of the cases 6 to 9 into target/, beside the program of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2-standin ./review/_standin2
