#!/bin/sh
# Exits with 1 if BUDGET was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: the request crashes no replica.
cd "$(dirname "$0")/../.."
java -cp target/review-2 Poison "$PWD" "$PWD/review/7/record.txt"
