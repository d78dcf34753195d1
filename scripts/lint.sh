#!/usr/bin/env bash
# Checks formatting (clang-format), the rules for `auto`, conversions from floating point, and clang-tidy on every source of the build.
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
mapfile -t tests < <(git ls-files 'tests/*.cpp')
# Each passed check is kept under the hash of its rules, the source and all headers, so an unchanged source is not analysed again.
export LINT_CACHE="${XDG_CACHE_HOME:-$HOME/.cache}/daisypass-tidy"
mkdir -p "$LINT_CACHE"
LINT_BASE=$(cat .clang-tidy CMakeLists.txt scripts/lint.sh $(git ls-files '*.h' | sort) | sha256sum | cut -c1-16)
export LINT_BASE

# Usage: check_each FUNCTION SOURCE...; FUNCTION prints its findings and fails if there are any.
check_each() {
    local check=$1
    shift
    export -f "$check"
    printf '%s\n' "$@" | xargs -P "$(nproc)" -I{} bash -c '
        key="$LINT_CACHE/$LINT_BASE-'"$check"'-$(sha256sum "{}" | cut -c1-16)"
        [ -e "$key" ] && exit 0
        '"$check"' "{}" > "$key.$$" 2>/dev/null && mv "$key.$$" "$key" && exit 0
        cat "$key.$$"; rm -f "$key.$$"; exit 1'
}

tidy() {
    clang-tidy -p build --quiet "$1"
}
check_each tidy "${sources[@]}"

# Tests keep the rules that find faults: a use beside a move in one call, or a product that is widened too late, depends on the machine.
tidy_test() {
    clang-tidy -p build --quiet --checks='-*,bugprone-*,-bugprone-easily-swappable-parameters,-bugprone-exception-escape' "$1"
}
check_each tidy_test "${tests[@]}"

# A conversion out of range gives the nearest number on arm64 and the least one on x86-64. saturatingCast() gives the same on both.
convert() {
    local found
    found=$(clang-query -p build \
        -c 'match castExpr(hasCastKind("CK_FloatingToIntegral"), unless(isExpansionInSystemHeader()), unless(isExpansionInFileMatching("base/saturating_cast.h")))' \
        -c 'match callExpr(callee(functionDecl(hasAnyName("lround", "llround", "lrint", "llrint"))), unless(isExpansionInSystemHeader()))' \
        "$1") || { echo "lint: clang-query failed on $1"; return 1; }
    [[ "$found" != *"binds here"* ]] || { echo "$found"; echo "lint: use saturatingCast() instead"; return 1; }
    # One line for each of the two queries shows that the source was read.
    [ "$(grep -c '^0 matches.$' <<< "$found")" -eq 2 ] || { echo "lint: clang-query has no result for $1"; return 1; }
}
check_each convert "${sources[@]}"
