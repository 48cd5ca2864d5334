#!/usr/bin/env bash
# Builds the stand-ins of the cases. The project's programs are built as in deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build
go build -o build/review-rig ./review/rig
