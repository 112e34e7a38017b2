#!/bin/sh
# Consumers read the results of a step slowly, while others look cards up on kept channels.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wisteriacroft ] && [ -x target/review-standin ] || { echo "build first: deploy/system.toml, review/build.sh" >&2; exit 2; }
exec target/review-standin slow review/5
