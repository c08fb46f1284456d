#!/bin/sh
# Builds the stand-ins that the scripts of the third review start.
set -e
cd "$(dirname "$0")/.."
go build -o target/ ./review/_standins3
