#!/usr/bin/env bash
# Installs the packages that the build, the tests and the linter need.
set -euo pipefail
packages="g++ cmake ninja-build ccache clang-format clang-tidy curl python3 \
libboost1.81-dev libflatbuffers-dev flatbuffers-compiler libdocopt-dev liblog4cplus-dev \
libexpected-dev doctest-dev librapidcheck-dev libxxhash-dev libbenchmark-dev libtomlplusplus-dev"
missing=""
for package in $packages; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' \
        || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends $missing >/dev/null
