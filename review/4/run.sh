#!/bin/sh
# The settings file of an entry changes, with a SIGHUP, while the entry drains after a SIGTERM.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wisteriacroft ] && [ -x target/review-standin ] || { echo "build first: deploy/system.toml, review/build.sh" >&2; exit 2; }
TROUBLE=${TROUBLE:-1} exec target/review-standin settings review/4
