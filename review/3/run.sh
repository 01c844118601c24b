#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
harness=target/review/release/review-harness
[ -x "$harness" ] || { echo "run review/build.sh first" >&2; exit 2; }
TROUBLE="${TROUBLE:-1}" "$harness" odd-entries review/3/record.txt
