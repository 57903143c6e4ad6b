#!/usr/bin/env bash
# The whole check: packages, format, lint, then build and test plainly, the demo, tests under the address and
# undefined-behaviour sanitizers, and (tests that use threads) under the thread sanitizer.
# Usage: Meta/check.sh [format|lint|plain|demo|address|thread ...]   (no argument: everything)
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

build() { # name, sanitizer, target
    configure "Build/$1" "$2"
    cmake --build "Build/$1" -j "$jobs" --target "$3" >"Build/$1.build.log" 2>&1 || { grep -E 'error|FAILED|undefined' -A5 "Build/$1.build.log" | head -100; exit 1; }
}

build_and_test() { # name, sanitizer, target, further ctest arguments
    local folder="Build/$1"
    build "$1" "$2" "$3"
    shift 3
    ctest --test-dir "$folder" -j 6 --output-on-failure --no-tests=error "$@"
}

run_format() { sources | xargs "$formatter" --dry-run --Werror; }

# What the linter found clean stays so while the file, everything of ours that it includes, the linter and its settings are
# the same: a hash of all of these names an empty file in the cache. What was not clean is never remembered.
lint_cache="${XDG_CACHE_HOME:-$HOME/.cache}/currantvale-lint"

# Prints, for each of our source files, itself and the files of ours that it includes, on one line.
dependencies() {
    ninja -C Build/plain -t deps | awk -v root="$PWD/" '
        function ours(path) { sub("^(\\.\\./)+", "", path); if (index(path, root) == 1) path = substr(path, length(root) + 1); return path }
        /^[^ ].*: #deps/ { if (line != "") print line; line = ""; next }
        /^ / { path = ours($1); if (path !~ /^\//) line = line (line == "" ? "" : " ") path }
        END { if (line != "") print line }'
}

lint_one() { # source, files that it includes...
    local key out
    key=$({ "$linter" --version; cat .clang-tidy "$@"; } | sha256sum | cut -d' ' -f1)
    [ -e "$lint_cache/$key" ] && return 0
    # A file's findings are printed whole, and only when there are some.
    out=$("$linter" -p Build/plain --quiet "$1" 2>&1) || { echo "$out"; return 1; }
    touch "$lint_cache/$key"
}

run_lint() {
    build plain "" all
    mkdir -p "$lint_cache"
    export linter lint_cache
    export -f lint_one
    dependencies | grep -v '\.pb\.cc ' | grep '^[^ ]*\.cpp ' | sort -u | xargs -P "$jobs" -d '\n' -I{} bash -c 'lint_one {}'
}

step() {
    local start=$SECONDS
    echo "== $1 ($(date +%T))"
    "run_$1"
    echo "== $1 took $((SECONDS - start)) s"
}
# Its ports are below those of the tests, and no other step uses them.
run_demo() { Meta/demo.sh >Build/demo.log 2>&1 || { grep -E '^(PROBLEM|==)' Build/demo.log | tail -5; exit 1; }; tail -1 Build/demo.log; }
run_plain() { build_and_test plain "" all; }
run_address() { build_and_test address address all; }
run_thread() { build_and_test thread thread thread-tests -L threads; }

mkdir -p Build
Meta/packages.sh
steps=("$@")
[ ${#steps[@]} -gt 0 ] || steps=(format lint plain demo address thread)
for it in "${steps[@]}"; do step "$it"; done
[ -z "$known_red" ] || echo "== passed over, see KNOWN-RED.txt: $known_red"
echo "== all checks passed: ${steps[*]}"
