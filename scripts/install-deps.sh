#!/usr/bin/env bash
# Installs the Debian packages that are needed to build, test and lint.
set -euo pipefail
packages=(cmake ninja-build g++ clang clang-format clang-tidy-19 libclang-rt-14-dev python3 ccache pkg-config
  make curl openssl bc spin libtbb-dev libcpp-httplib-dev prometheus-cpp-dev libcli11-dev
  libgoogle-glog-dev libboost-dev catch2 librapidcheck-dev nlohmann-json3-dev
  libtomlplusplus-dev libssl-dev libbenchmark-dev)
if dpkg-query -W -f '${db:Status-Abbrev}\n' "${packages[@]}" 2>/dev/null | grep -qv '^ii' ||
  ! dpkg-query -W "${packages[@]}" >/dev/null 2>&1; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${packages[@]}"
fi
