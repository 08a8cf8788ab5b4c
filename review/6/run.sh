#!/bin/sh
# Exits with 1 if CONFIG was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: only the last change.
cd "$(dirname "$0")/../.."
java -cp target/review-2 Storms "$PWD" "$PWD/review/6/record.txt"
