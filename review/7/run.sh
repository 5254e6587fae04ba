#!/usr/bin/env bash
# A burst of jobs that run once a minute for a day: the memory of each scheduler in turn exceeds its machine's.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rhubarbstalld ] && [ -x target/review-lab-2 ] || { echo "build with the deploy file and review/build-2.sh first"; exit 2; }
exec target/review-lab-2 -dir review/7 -program target/rhubarbstalld memory
