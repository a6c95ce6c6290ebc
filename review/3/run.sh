#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
case "${TROUBLE:-1}" in 0) trouble=none ;; 1) trouble=both ;; *) trouble=$TROUBLE ;; esac
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
trap 'exit 2' INT TERM
timeout -k 5 110 target/review/gang -program target/dogwoodladder -dir "$dir" -record "$here/record.txt" -trouble "$trouble"
rc=$?
case $rc in 0 | 1) exit $rc ;; esac
exit 2
