#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the third review.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/rig3 ./review/rig3
