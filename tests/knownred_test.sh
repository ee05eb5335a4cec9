#!/usr/bin/env bash
# tools/known-red passes over exactly the listed tests, names them, and fails if a listed test does not exist.
set -uo pipefail
cd "$(dirname "$0")/.."
bin=$(cd "${1:-build/bin}" && pwd)
source tools/processes.sh
build=$(dirname "$bin")
export KNOWN_RED_FILE=$work/list

entry() { printf 'test: %s\ncommand: c\nseen: s\nissue: 1\n\n' "$1"; }
list() { for it in "$@"; do entry "$it"; done >"$KNOWN_RED_FILE"; }
fails() { ! "$@" >"$work/out" 2>&1; }
passes() { "$@" >"$work/out" 2>&1 || { cat "$work/out"; return 1; }; }
prints() { grep -qF -- "$1" "$work/out" || { cat "$work/out"; return 1; }; }

mkdir "$work/fake"
printf 'add_test(good "true")\nadd_test(bad "false")\nadd_test(bad.other "false")\n' >"$work/fake/CTestTestfile.cmake"
list
step "without an entry, a failing test fails the run" fails tools/known-red ctest "$work/fake" -E other
list bad
step "a listed test is passed over" passes tools/known-red ctest "$work/fake" -R '^(good|bad)$'
step "... and named" prints "passed over, listed in $KNOWN_RED_FILE: bad"
step "... and the others still run" prints "0 tests failed out of 1"
step "a test whose name only begins like a listed one is not passed over" fails tools/known-red ctest "$work/fake" -R 'bad'
step "an entry of an existing test is accepted" passes tools/known-red check "$work/fake" "$build"

case="the caller is told not run only if every send proved it"
list "forwarding / $case"
step "an entry of an existing test case is accepted" passes tools/known-red check "$work/fake" "$build"
step "a listed test case is passed over" passes tools/known-red ctest "$build" -V -R '^forwarding$'
step "... and named" prints "passed over, listed in $KNOWN_RED_FILE: forwarding / $case"
step "... and it is the only one that does not run" prints " 1 skipped"
comma=$("$bin/gateway_test" --list-test-cases 2>/dev/null | grep ',' | head -n 1)
list "gateway / $comma"
step "a test case with a comma in its name is passed over" passes tools/known-red ctest "$build" -V -R '^gateway$'
step "... and it is the only one that does not run" prints " 1 skipped"

list bad none
step "an entry of a test that does not exist is an error" fails tools/known-red check "$work/fake" "$build"
step "... which names it" prints "there is no test 'none'"
list "forwarding / none"
step "an entry of a test case that does not exist is an error" fails tools/known-red check "$build"
step "... which names it" prints "there is no test 'forwarding / none'"
printf 'test: bad\nseen: s\nissue: 1\n' >"$KNOWN_RED_FILE"
step "an entry without a command is an error" fails tools/known-red check "$work/fake"
step "... which says what is missing" prints 'line "command:" is missing'
printf 'bad fails now and then\n' >"$KNOWN_RED_FILE"
step "free text is an error" fails tools/known-red check "$work/fake"

[ $failures = 0 ]
