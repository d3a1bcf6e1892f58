#!/usr/bin/env bash
# Needs the build of deploy/system.toml and review/build-2.sh. TROUBLE=0 leaves the disruption
# out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cwgateway ] && [ -x target/review-2 ] || exit 2
exec target/review-2 addresses review/6
