#!/usr/bin/env bash
# Runs case.py of the folder in $1: exits with 1 if the rule was broken, 0 if it held, 2 otherwise.
cd "$1" || exit 2
export PYTHONDONTWRITEBYTECODE=1
python3 case.py &
child=$!
trap 'kill "$child" 2>/dev/null' TERM INT
wait "$child"; code=$?
while kill -0 "$child" 2>/dev/null; do wait "$child"; code=$?; done
case $code in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
