#!/bin/sh
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/release/stand-3 ] || exit 2
[ -x target/release/almondramp-platform ] || exit 2
exec target/review-3/release/stand-3 kill-all review/14/record.txt
