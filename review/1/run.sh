#!/bin/sh
# The three store machines are replaced by three others, as planned work, while a trainer asks for steps.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wisteriacroft ] && [ -x target/review-standin ] || { echo "build first: deploy/system.toml, review/build.sh" >&2; exit 2; }
TROUBLE=${TROUBLE:-1} exec target/review-standin retire review/1
