#!/bin/sh
# A box is stopped just after it has sent an order into a link that is cut for a moment.
# TROUBLE=0 runs the same without the disruption; the program reads it.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")/../.." || exit 2
target/review-2/release/late_order review/5
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
