#!/bin/sh
# Checks that the stand-ins of the cases 4 to 8 can be started.  They are
# Python, as the software is, and use what the deploy file's build installs.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH="target/deps:.:review" PYTHONDONTWRITEBYTECODE=1 \
    exec python3 -c 'import crashing, harness2, tenants'
