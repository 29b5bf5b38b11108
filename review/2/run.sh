#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if it could not run.
# With TROUBLE=0 the disruption does not come.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" || exit 2
exec timeout --kill-after=5 110 python3 play.py
