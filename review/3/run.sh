#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Writes what was sent, answered and run to record.txt beside this file, and ends the processes that it started.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -f target/platform/godwitwick-platform-0.1.0.jar ] && [ -f review/target/classes/SilentStore.class ] || exit 2
exec java -Xmx1g -cp review/target/classes SilentStore review/3/record.txt
