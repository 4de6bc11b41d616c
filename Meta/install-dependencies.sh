#!/usr/bin/env bash
# Installs the Debian packages that building, testing and linting need.
set -euo pipefail

packages=(
  g++ cmake ninja-build ccache pkg-config git
  clang clang-format clang-tidy clang-tools libclang-rt-14-dev
  libasio-dev librestinio-dev libjsonrpccpp-dev libboost1.81-dev libyaml-cpp-dev
  libcurl4-openssl-dev libtclap-dev libspdlog-dev libcpputest-dev libjsoncpp-dev
  libxxhash-dev librapidcheck-dev libbenchmark-dev libssl-dev python3
)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q "install ok installed" || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi
sudo=""
[ "$(id -u)" -eq 0 ] || sudo="sudo"
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq --no-install-recommends "${missing[@]}"
