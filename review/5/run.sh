#!/bin/sh
# Two of eleven servers leave half of their requests of a streaming route without an answer.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wisteriacroft ] && [ -x target/review-standin ] || { echo "build first: deploy/system.toml, review/build.sh" >&2; exit 2; }
exec target/review-standin stream review/5
