#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/ibishill target/review-2/cases; do
    [ -x "$program" ] || { echo "$program is missing: run the build of deploy/system.toml and review/build-2.sh"; exit 2; }
done
exec target/review-2/cases weak review/9
