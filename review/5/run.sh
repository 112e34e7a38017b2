#!/bin/sh
# An entry is stopped; consumers send requests on kept channels shortly before it closes them.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wisteriacroft ] && [ -x target/review-standin ] || { echo "build first: deploy/system.toml, review/build.sh" >&2; exit 2; }
TROUBLE=${TROUBLE:-1} exec target/review-standin drain review/5
