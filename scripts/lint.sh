#!/usr/bin/env bash
# Checks the includes between the folders of the core, and runs the formatter over all sources and
# headers and the linter over all sources except fuzz/. Fails on any finding. The linter skips a file
# whose preprocessed content passed an earlier run.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
tidy=clang-tidy-19
mapfile -t sources < <(git ls-files '*.cc' ':!fuzz')
mapfile -t formatted < <(git ls-files '*.cc' '*.h')
scripts/check-layers.py
clang-format --dry-run --Werror "${formatted[@]}"
echo "formatter: ${#formatted[@]} files clean"
export build tidy passed_dir="$build/lint-clean"
mkdir -p "$passed_dir"
# Asio 1.74 detects coroutines in clang only under their experimental name, so support for the
# standard ones is switched on by macros.
export coroutine_macros="-DBOOST_ASIO_HAS_CO_AWAIT -DBOOST_ASIO_HAS_STD_COROUTINE"
lint_one() {
  local file=$1 key
  # The key is the digest of .clang-tidy and of the preprocessed file, with all its includes.
  key=$({
    cat .clang-tidy
    scripts/preprocess.py "$build" "$file"
  } | sha256sum | cut -d' ' -f1)
  [ -e "$passed_dir/$key" ] && return 0
  # shellcheck disable=SC2086
  if "$tidy" -p "$build" --quiet $(printf -- '--extra-arg=%s ' $coroutine_macros) "$file" 2>/dev/null; then
    : >"$passed_dir/$key"
  else
    echo "linter: findings in $file" >&2
    return 1
  fi
}
export -f lint_one
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -I{} bash -c 'lint_one {}'
echo "linter: ${#sources[@]} files clean"
