#!/bin/sh
# Model servers crash two at a time, again and again; the trainer's steps go on afterwards.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wisteriacroft ] && [ -x target/review-standin ] || { echo "build first: deploy/system.toml, review/build.sh" >&2; exit 2; }
exec target/review-standin crashes review/5
