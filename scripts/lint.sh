#!/usr/bin/env bash
# Formatter and linter over every source file; any finding fails. Files whose preprocessed content was
# found clean before are passed over.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
tidy=clang-tidy-19
mapfile -t sources < <(git ls-files '*.cc' ':!fuzz')
mapfile -t all < <(git ls-files '*.cc' '*.h')
clang-format --dry-run --Werror "${all[@]}"
echo "formatter: ${#all[@]} files clean"
export build tidy clean="$build/lint-clean"
mkdir -p "$clean"
# Asio 1.74 knows clang's coroutines by their experimental name only.
export coroutines="-DBOOST_ASIO_HAS_CO_AWAIT -DBOOST_ASIO_HAS_STD_COROUTINE"
lint_one() {
  local file=$1 key
  # The compile command, the checks and everything that the file includes decide.
  key=$({
    cat .clang-tidy
    scripts/preprocess.py "$build" "$file"
  } | sha256sum | cut -d' ' -f1)
  [ -e "$clean/$key" ] && return 0
  # shellcheck disable=SC2086
  if "$tidy" -p "$build" --quiet $(printf -- '--extra-arg=%s ' $coroutines) "$file" 2>/dev/null; then
    : >"$clean/$key"
  else
    echo "linter: $file" >&2
    return 1
  fi
}
export -f lint_one
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -I{} bash -c 'lint_one {}'
echo "linter: ${#sources[@]} files clean"
