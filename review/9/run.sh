#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd) && cd "$here/../.." || exit 2
for program in bin/onyxgate bin/review-2; do
  test -x "$program" || { echo "$program is missing: build by the deploy file and by review/build-2.sh"; exit 2; }
done
timeout -k 5 115 bin/review-2 big-bodies "$here/record.txt"
status=$?
test "$status" -le 1 || status=2
exit "$status"
