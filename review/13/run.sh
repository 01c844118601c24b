#!/bin/sh
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/release/stand-3 ] || exit 2
[ -x target/release/almondramp-platform ] || exit 2
exec target/review-3/release/stand-3 restored-versions review/13/record.txt
