#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. The program itself is built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/_standin
