#!/bin/sh
# Puts everything that a gateway runs under target/deps: libraries only when
# their list has changed, the workspace's packages each time.
set -eu
deps=target/deps
stamp=$deps/.installed
if [ ! -f "$stamp" ] || [ deploy/requirements.txt -nt "$stamp" ]; then
    python3 -m pip install --quiet --upgrade --target "$deps" \
        --requirement deploy/requirements.txt
    touch "$stamp"
fi
for package in packages/core/auburnroad_core \
    packages/gateway/auburnroad_gateway platform/auburnroad_platform; do
    rm -rf "$deps/$(basename "$package")"
    cp -R "$package" "$deps/"
done
python3 -m compileall -q "$deps"
