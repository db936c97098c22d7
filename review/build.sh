#!/bin/sh
# Puts the stand-ins that the cases start under target/review: those of the
# project that follow the pages, and the small ones of this review.
set -eu
cd "$(dirname "$0")/.."
out=target/review
rm -rf "$out"
mkdir -p "$out"
cp -R packages/standins/auburnroad_standins "$out/"
cp -R review/stand_ins "$out/review_stand_ins"
python3 -m compileall -q "$out"
