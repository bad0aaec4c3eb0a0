#!/bin/sh
# repeat.sh N [TIMES]: runs case N, TIMES times (5) with its disruption and as
# often without it, and prints the exit codes.
cd "$(dirname "$0")/$1" || exit 2
for trouble in 0 1; do
	codes=
	for _ in $(seq "${2:-5}"); do
		TROUBLE=$trouble ./run.sh >/dev/null 2>&1
		codes="$codes $?"
	done
	echo "case $1 TROUBLE=$trouble:$codes"
done
