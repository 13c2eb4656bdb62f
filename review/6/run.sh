#!/bin/bash
# Case 6. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/skylarkwoodd ] && [ -x target/review-cases2 ] || {
	echo "build the system and run review/build-2.sh first" >&2
	exit 2
}
exec target/review-cases2 turned-away "$here/record.txt"
