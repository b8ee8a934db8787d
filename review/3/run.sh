#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/review/case3 ] && [ -x target/release/carobport-entry ] && [ -x target/release/carobport-agent ] || exit 2
# On a time-out, the programs that the driver started get the signal too.
timeout -k 5 105 target/review/case3 "$folder"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
