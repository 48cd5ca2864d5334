#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review2-rig ./review/rig2
