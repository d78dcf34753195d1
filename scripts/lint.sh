#!/usr/bin/env bash
# Checks formatting (clang-format), the rules for `auto`, and clang-tidy on every source of the build.
# Usage: scripts/lint.sh [--format-only]
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files '*.cpp' '*.h' | grep -v '\.pb\.')
clang-format --dry-run --Werror "${files[@]}"
# `auto` is for iterators and lambdas only.
if grep -nE '\bauto\b' "${files[@]}" | grep -vE 'auto[ &*]+[A-Za-z0-9_]+ = \[|auto[ &*]+[A-Za-z0-9_]+ = .*(begin|end|find|find_if|lower_bound|upper_bound|erase|emplace|insert|max_element|min_element|remove_if|partition|prev|next|equal_range|find_first_of|unique|rbegin|try_emplace)\(|\]\(.*auto|//.*\bauto\b'; then
    echo "lint: auto is for iterators and lambdas only" >&2
    exit 1
fi
[ "${1:-}" = "--format-only" ] && exit 0
mapfile -t sources < <(git ls-files 'src/*.cpp' 'bench/*.cpp' | grep -v '\.pb\.')
# Each clang-tidy result is kept under the hash of the preprocessed dependencies' contents, so an unchanged source is not analysed again.
cache="${XDG_CACHE_HOME:-$HOME/.cache}/daisypass-tidy"
mkdir -p "$cache"
base=$(cat .clang-tidy CMakeLists.txt $(git ls-files '*.h' | sort) | sha256sum | cut -c1-16)
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -I{} bash -c '
    key='"$cache"'/'"$base"'-$(sha256sum "{}" | cut -c1-16)
    [ -e "$key" ] && exit 0
    clang-tidy -p build --quiet "{}" > "$key.$$" 2>/dev/null && mv "$key.$$" "$key" && exit 0
    cat "$key.$$"; rm -f "$key.$$"; exit 1'
