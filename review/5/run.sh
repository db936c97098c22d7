#!/bin/sh
# See claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run. TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -d target/deps ] || [ ! -d target/review ]; then
    echo 'build with deploy/build.sh and review/build.sh first' >&2
    exit 2
fi
exec env PYTHONPATH=target/review:target/deps python3 review/5/case.py
