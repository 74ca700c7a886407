#!/bin/sh
# Builds what the scripts of the review start: their stand-ins need only Python itself.
set -eu
cd "$(dirname "$0")"
rm -rf ../target/review
mkdir -p ../target/review
cp -r common ../target/review/common
python3 -m compileall -q ../target/review/common
