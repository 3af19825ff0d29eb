#!/bin/sh
# Runs the case; see claim.txt. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. Build first: the build of the deploy file, then review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/grebeglade ] || [ ! -x bin/review-stand-2 ]; then
	echo "not built: run the build of the deploy file and review/build-2.sh" >&2
	exit 2
fi
exec bin/review-stand-2 slow-discovery review/7/record.txt
