#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/carawaycross ] || [ ! -x target/review-2/lab ]; then
	echo "build first: the build line of deploy/system.toml, then review/build-2.sh"
	exit 2
fi
RECORD=review/9/record.txt exec target/review-2/lab crash-forgotten
