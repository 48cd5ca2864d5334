#!/usr/bin/env bash
# Plays the case with the programs that the deploy file and review/build.sh build, and writes
# record.txt beside this file, or into the folder OUT. Exit codes: 1 broken, 0 held, 2 not run.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/mangoknot-node ] && [ -x build/review-rig ] || { echo "build the programs first" >&2; exit 2; }
timeout --signal=TERM --kill-after=3 115 build/review-rig chain "${OUT:-$here}"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
