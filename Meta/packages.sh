#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the linter need. Does nothing when all are there.
set -euo pipefail

packages=(
    g++ cmake ninja-build ccache git
    libboost1.81-dev libboost-json1.81-dev libnghttp2-dev prometheus-cpp-dev libcxxopts-dev liblog4cxx-dev
    librapidcheck-dev libinih-dev libprotobuf-dev libxxhash-dev libgtest-dev libssl-dev libzstd-dev
    clang-format-19 clang-tidy-19 curl
)

missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0

echo "Installing: ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
