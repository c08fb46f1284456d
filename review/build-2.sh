#!/usr/bin/env bash
# Builds the stand-ins of the cases review/6 and later, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standins ./review/_standins
