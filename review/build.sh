#!/bin/sh
# Builds the stand-ins of the cases into target/. The product is built by the command of
# deploy/system.toml before.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/ ./review/_servers
