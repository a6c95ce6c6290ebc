#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no order is held up, no process is killed, no worker crashes.
dir=$(cd "$(dirname "$0")" && pwd)
cd "$dir/../.." || exit 2
[ -x target/dogwoodladder ] && [ -x target/review-3/intransit ] || exit 2
exec target/review-3/intransit target/dogwoodladder "$dir/record.txt"
