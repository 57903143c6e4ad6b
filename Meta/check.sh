#!/usr/bin/env bash
# The whole check: packages, format, lint, then build and test plainly, under the address and
# undefined-behaviour sanitizers, and (tests that use threads) under the thread sanitizer.
# Usage: Meta/check.sh [format|lint|plain|address|thread ...]   (no argument: everything)
set -euo pipefail
cd "$(dirname "$0")/.."

readonly formatter=clang-format-19
readonly linter=clang-tidy-19
jobs=${CURRANTVALE_JOBS:-$(nproc)}
export RC_PARAMS="seed=20261202"
export TSAN_OPTIONS="suppressions=$PWD/Meta/tsan-suppressions.txt"
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1

# Known red tests are passed over, and printed at the end.
known_red=$(grep -v '^#' KNOWN-RED.txt | cut -d, -f1 | sed 's/ *$//' | paste -sd: || true)
[ -z "$known_red" ] || export GTEST_FILTER="-$known_red"

sources() { git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | grep -v '\.pb\.' | while read -r f; do [ -e "$f" ] && echo "$f"; done; }

configure() { # folder, sanitizer
    cmake -S . -B "$1" -G Ninja -DCURRANTVALE_SANITIZER="$2" \
        -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >"$1.configure.log" 2>&1 || { cat "$1.configure.log"; exit 1; }
}

build_and_test() { # name, sanitizer, target, further ctest arguments
    local folder="Build/$1" sanitizer="$2" target="$3"
    shift 3
    configure "$folder" "$sanitizer"
    cmake --build "$folder" -j "$jobs" --target "$target" >"$folder.build.log" 2>&1 || { grep -E 'error|FAILED|undefined' -A5 "$folder.build.log" | head -100; exit 1; }
    ctest --test-dir "$folder" -j 6 --output-on-failure --no-tests=error "$@"
}

run_format() { sources | xargs "$formatter" --dry-run --Werror; }

run_lint() {
    configure Build/plain ""
    export linter
    # A file's findings are printed whole, and only when there are some.
    sources | grep '\.cpp$' | xargs -P "$jobs" -I{} bash -c 'out=$("$linter" -p Build/plain --quiet {} 2>&1) || { echo "$out"; exit 1; }'
}

step() { echo "== $1 ($(date +%T))"; "run_$1"; }
run_plain() { build_and_test plain "" all; }
run_address() { build_and_test address address all; }
run_thread() { build_and_test thread thread thread-tests -L threads; }

mkdir -p Build
Meta/packages.sh
steps=("$@")
[ ${#steps[@]} -gt 0 ] || steps=(format lint plain address thread)
for it in "${steps[@]}"; do step "$it"; done
[ -z "$known_red" ] || echo "== passed over, see KNOWN-RED.txt: $known_red"
echo "== all checks passed: ${steps[*]}"
