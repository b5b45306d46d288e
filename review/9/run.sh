#!/bin/sh
# Runs the case after the build of the deploy file and review/build-2.sh.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/hawthornquay-entryd ] && [ -x target/review/case-9 ] || exit 2
exec target/review/case-9 review/9
