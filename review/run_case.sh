#!/usr/bin/env bash
# Runs the case of the given number: exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.
set -u
cd "$(dirname "$0")/.." || exit 2
node "target/review/$1/case.mjs" "review/$1/record.txt" &
program=$!
trap 'kill "$program" 2>/dev/null' TERM INT
status=
while [ -z "$status" ] || kill -0 "$program" 2>/dev/null; do
  wait "$program"
  status=$?
done
case $status in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
