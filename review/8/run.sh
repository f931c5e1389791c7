#!/usr/bin/env bash
# Plays the case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. Needs the build of deploy/service.toml and review/build-2.sh.
set -u
dir=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$dir/../.." || exit 2
for program in target/micahill target/review-rig; do
    [ -x "$program" ] || { echo "$program is missing: build it first" >&2; exit 2; }
done
exec target/review-rig nowhere "$dir"
