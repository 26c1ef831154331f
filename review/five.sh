#!/bin/sh
# Runs a case five times with its disruption and five times without: review/five.sh N
cd "$(dirname "$0")" || exit 2
for trouble in 1 0; do
    for i in 1 2 3 4 5; do
        TROUBLE=$trouble "./$1/run.sh" >/dev/null 2>&1
        echo "case $1 TROUBLE=$trouble run $i: exit $?, $(tail -1 "$1/record.txt" | cut -c1-200)"
    done
done
