#!/usr/bin/env bash
# Plays this case; needs the build of deploy/system.toml and review/build-2.sh. Exits with 1 if the rule was broken, with 0
# if it held, and with 2 if the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-stage ] && [ -x target/oleanderpulley ] || exit 2
exec target/review-stage drain review/9
