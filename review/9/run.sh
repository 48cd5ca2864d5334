#!/usr/bin/env bash
# Kills a gateway right after it has answered turns; see claim.txt. TROUBLE=0 leaves it out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review2-rig last-turn review/9/record.txt
