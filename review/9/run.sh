#!/bin/sh
# Exits with 1 if BUDGET was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no process is killed; the same request comes as often.
cd "$(dirname "$0")/../.."
java -cp target/review-2 Forgotten "$PWD" "$PWD/review/9/record.txt"
