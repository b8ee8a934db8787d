#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/review/case3 ] && [ -x target/release/carobport-entry ] && [ -x target/release/carobport-agent ] || exit 2
exec timeout -k 2 110 target/review/case3 "$folder"
