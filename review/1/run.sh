#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[[ -x target/review/case-1 && -x target/bin/sequoia-platform-entry ]] || exit 2
timeout -k 2 115 target/review/case-1 review/1/record.txt
status=$?
[ $status -le 1 ] || status=2 # Out of time, or no port, say.
exit $status
