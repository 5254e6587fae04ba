#!/bin/sh
# Plays the case "advice" of the review; see claim.txt. Build with the deploy file and review/build.sh first.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review/standin ] || [ ! -x target/rhubarbstalld ]; then
	echo "build first" >&2
	exit 2
fi
disruption=with
if [ "${TROUBLE:-1}" = 0 ]; then
	disruption=without
fi
exec target/review/standin advice review/1/record.txt "$disruption"
