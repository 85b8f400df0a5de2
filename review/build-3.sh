#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. The product is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -trimpath -o target/standin3 ./review/_standin3
