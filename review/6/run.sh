#!/usr/bin/env bash
# Freezes a storage machine while another one loses its disk; see claim.txt. TROUBLE=0 leaves it out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review2-rig lost-seat review/6/record.txt
