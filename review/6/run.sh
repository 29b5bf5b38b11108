#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
PYTHONPATH="target/deps:.:review" PYTHONDONTWRITEBYTECODE=1 \
    GEVENT_RESOLVER=block exec python3 "review/${here##*/}/case.py"
