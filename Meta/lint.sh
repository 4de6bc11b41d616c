#!/usr/bin/env bash
# Checks formatting, clang-tidy and the house rules that neither tool covers.
#   Meta/lint.sh          the whole tree
#   Meta/lint.sh FILE...  clang-tidy for these files only
set -euo pipefail
cd "$(dirname "$0")/.."

preset="${PRESET:-release}"
[ -f "Build/$preset/compile_commands.json" ] || cmake --preset "$preset" >/dev/null

mapfile -t sources < <(git ls-files --cached --others --exclude-standard -- '*.cc' '*.h' | grep -v '/generated/')
clang-format --dry-run --Werror "${sources[@]}"
Meta/check-members.py "${sources[@]}"

if [ "$#" -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(printf '%s\n' "${sources[@]}" | grep '\.cc$' | grep -v '^Libraries/LibRPC/')
fi
printf '%s\n' "${files[@]}" |
  xargs -P "$(nproc)" -n 2 clang-tidy --quiet -p "Build/$preset" --extra-arg=-Wno-unknown-warning-option 2>&1 |
  { grep -v -E 'warnings? (generated|treated)|^$|Suppressed|Use -header-filter' || true; } | tee "Build/$preset/lint.log"
if grep -q -E ' (error|warning): ' "Build/$preset/lint.log"; then
  echo "lint: clang-tidy found the problems above; fix them, or disable the check in .clang-tidy with the reason" >&2
  exit 1
fi
echo "lint: clean"
