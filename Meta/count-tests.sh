#!/usr/bin/env bash
# Sums the summary lines of the CppUTest and unittest programs in a verbose CTest log.
# A program without a summary line, such as one that crashed, counts as one failed test.
set -euo pipefail

awk '
  /OK \([0-9]+ tests, [0-9]+ ran/ {
    match($0, /[0-9]+ ran/); passed += substr($0, RSTART, RLENGTH) + 0; summaries++
  }
  /Errors \(/ {
    failures = 0; ran = 0
    if (match($0, /[0-9]+ failures/)) failures = substr($0, RSTART, RLENGTH) + 0
    if (match($0, /[0-9]+ ran/)) ran = substr($0, RSTART, RLENGTH) + 0
    if (failures > ran) failures = ran
    failed += failures; passed += ran - failures; summaries++
  }
  /Ran [0-9]+ tests? in / {
    match($0, /Ran [0-9]+/); in_unittest = substr($0, RSTART + 4, RLENGTH - 4) + 0; summaries++
  }
  in_unittest && /: OK$/ { passed += in_unittest; in_unittest = 0 }
  in_unittest && /: FAILED \(/ {
    failures = 0
    if (match($0, /failures=[0-9]+/)) failures += substr($0, RSTART + 9, RLENGTH - 9)
    if (match($0, /errors=[0-9]+/)) failures += substr($0, RSTART + 7, RLENGTH - 7)
    failed += failures; passed += in_unittest - failures; in_unittest = 0
  }
  /^ *[0-9]+\/[0-9]+ Test +#/ { programs++ }
  END {
    if (programs > summaries) failed += programs - summaries
    printf "%d passed, %d failed\n", passed, failed
  }
' "$1"
