#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the gateways: the
# project's stand-ins and those of the review. Needs the build of the deploy
# file. Run from the project's root.
set -eu
cd "$(dirname "$0")/.."
built=target/review-2
rm -rf "$built"
mkdir -p "$built"
cp -R packages/standins/auburnroad_standins review/stand_ins_2 "$built/"
PYTHONPATH="target/deps:$built" python3 -m compileall -q "$built"
PYTHONPATH="target/deps:$built" python3 -c \
    'from stand_ins_2 import harness; from auburnroad_standins import platform_store'
