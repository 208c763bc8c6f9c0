#!/usr/bin/env bash
# Installs the library into a scratch directory and builds and runs the examples against it, as a
# project that embeds the library would.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cmake --install "$build" --prefix "$work/prefix" >/dev/null
mkdir "$work/embedder"
cp examples/*.cc "$work/embedder/"
cat > "$work/embedder/CMakeLists.txt" <<'CMAKE'
cmake_minimum_required(VERSION 3.25)
project(embedder LANGUAGES CXX)
set(CMAKE_CXX_STANDARD 20)
find_package(limpethaven REQUIRED)
foreach(name share_ledger ticket_book)
  add_executable(${name} ${name}.cc)
  target_link_libraries(${name} PRIVATE limpethaven::limpethaven)
endforeach()
CMAKE
cmake -S "$work/embedder" -B "$work/embedder/build" -G Ninja -DCMAKE_PREFIX_PATH="$work/prefix" \
  >/dev/null
cmake --build "$work/embedder/build" >/dev/null
for name in share_ledger ticket_book; do
  "$work/embedder/build/$name" >/dev/null
  echo "installed library: example $name was built and ran"
done
