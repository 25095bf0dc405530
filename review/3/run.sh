#!/bin/sh
# An extra copy of a refusal answers the repeated request: a request that must run once runs twice.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
stand_ins=target/review/release/review-stand-ins
[ -x "$stand_ins" ] && [ -x target/release/anvilrack-platform ] || exit 2
"$stand_ins" extra-refusal review/3/record.txt
