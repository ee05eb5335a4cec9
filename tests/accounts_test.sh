#!/usr/bin/env bash
# End-to-end test of client accounts with stand-ins: three daemons, an instance of a plain service and the metadata store. Keys are added and
# taken away, a limit is reached over all daemons, lowered, and kept while daemons are killed and paused.
set -uo pipefail
cd "$(dirname "$0")/.."
bin=$(cd "${1:-build/bin}" && pwd)
source tools/processes.sh
source tests/site.sh

configuration() { # VERSION ACCOUNTS
    cat <<T
{"version":$1,"routes":[
{"name":"check","host":"site.example","prefix":"/check/","kind":"safe","timeoutMs":15000,"goalMs":300,"priority":2,"service":"desk","maxAttempts":2},
{"name":"open","host":"site.example","prefix":"/open/","kind":"safe","timeoutMs":15000,"goalMs":300,"priority":2,"service":"desk","maxAttempts":2,"public":true}],
"services":[{"name":"desk","healthPath":"/health","maxConns":100}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[$2]}
T
}
account() { printf '{"name":"%s","apiKeys":[%s],"priority":1%s}' "$1" "$2" "${3:-}"; }
# DAEMON PATH [CURL ARGUMENT...]: status of a call.
get() { curl -s -m 5 -o /dev/null -w '%{http_code}' -H 'Host: site.example' -H "Request-Id: a$RANDOM$RANDOM" -H 'Deadline-Ms: 5000' "${@:3}" "http://$(caller "$1")$2"; }
with_key() { get "$1" /check/x -H "Authorization: Bearer $2"; }
gets() { [ "$(with_key "$1" "$2")" = "$3" ]; }
all_get() { local n; for n in 1 2 3; do gets $n "$1" "$2" || return 1; done; }
seen() { curl -s -m 2 "http://$(desk 1)/accounts" | jq -r ".$1"; }
# Calls to the given daemons with a key until it has sent this many; writes the statuses to a file.
load() { # CALLS KEY NAME DAEMON...
    local i n
    for i in $(seq "$1"); do
        for n in "${@:4}"; do with_key "$n" "$2" >>"$work/$3.codes"; echo >>"$work/$3.codes"; done
    done
}
count() { grep -cx "$2" "$work/$1.codes"; }

start store turmericplank-sitestore --listen "$store"
until_true 10 answers "http://$store/" || exit 1
put_configuration 1 "$(account acme '"acme-1","acme-2"'),$(account other '"other-1"')"
start_desk 1
for n in 1 2 3; do start_daemon $n; done
for n in 1 2 3; do step "daemon $n becomes ready" until_true 10 ready_is $n 200; done
step "all daemons know a key" until_true 10 all_get acme-1 200
step "the endpoint learns the account" [ "$(seen runs.acme)" -ge 3 ]
step "an unknown key gets 401" equals "$(with_key 1 unknown)" 401
step "no key gets 401" equals "$(get 1 /check/x)" 401
step "two keys get 401" equals "$(get 1 /check/x -H 'Authorization: Bearer acme-1' -H 'Authorization: Bearer acme-1')" 401
step "another scheme gets 401" equals "$(get 1 /check/x -H 'Authorization: Basic acme-1')" 401
step "a key of 12 KB gets 401" equals "$(with_key 1 "$(head -c 12000 /dev/zero | tr '\0' k)")" 401
step "a public route needs no key" equals "$(get 1 /open/x -H 'Tenant: forged')" 200
step "an account that the caller states is not passed on" equals "$(seen runs.forged)" null
step "the caller's statement does not replace its account" equals "$(get 1 /check/x -H 'Authorization: Bearer other-1' -H 'Tenant: forged')" 200
step "... at the endpoint" equals "$(seen runs.other)/$(seen runs.forged)" 1/null

put_configuration 2 "$(account acme '"acme-2","acme-3"'),$(account other '"other-1"')"
step "a removed key gets 401 at all daemons" until_true 5 all_get acme-1 401
step "an added key is known at all daemons" until_true 5 all_get acme-3 200
step "a key that stays is still known" all_get acme-2 200
stop daemon-3
start_daemon 3
step "a daemon that starts again knows the keys in force" until_true 10 gets 3 acme-3 200
step "... and not the removed one" equals "$(with_key 3 acme-1)" 401

put_configuration 3 "$(account acme '"acme-2"' ',"ratePerS":4,"burst":4'),$(account other '"other-1"')"
step "the limit is in force at all daemons" until_true 5 all_get acme-3 401
before=$(seen runs.acme)
load 60 acme-2 limited 1 2 3
all_granted() { [ "$(grep -l 'accounts: grants received' "$work"/daemon-*.log | wc -l)" = 3 ]; }
step "every daemon gets grants" until_true 10 all_granted
step "calls beyond the limit get 429 ($(count limited 429) of 180)" [ "$(count limited 429)" -gt 0 ]
step "... and those within it are served ($(count limited 200))" [ "$(count limited 200)" -gt 0 ]
step "what runs is what was admitted" equals "$(($(seen runs.acme) - before))" "$(count limited 200)"
step "another account is not limited" all_get other-1 200
step "a refusal says when to come back" until_true 10 \
    bash -c "curl -s -m 5 -D - -o /dev/null -H 'Host: site.example' -H \"Request-Id: r\$RANDOM\" -H 'Authorization: Bearer acme-2' http://$(caller 1)/check/x | grep -qi '^retry-after: [0-9.]*'"
step "the log names the account" grep -q 'accounts: limit reached account=acme' "$work"/daemon-*.log

stop daemon-2
load 20 acme-2 killed 1 3
step "the limit holds without one daemon ($(count killed 200) of 40 served)" [ "$(count killed 429)" -gt 0 ]
kill -STOP "${pid_of[daemon-3]}"
load 20 acme-2 paused 1
kill -CONT "${pid_of[daemon-3]}"
step "... and while one is paused ($(count paused 200) of 20 served)" [ "$(count paused 429)" -gt 0 ]
step "a daemon that goes on after a pause keeps to the limit" until_true 10 gets 3 acme-2 429

put_configuration 4 "$(account acme '"acme-2"'),$(account other '"other-1"')"
served_again() { local n; for n in 1 2 3 4 5 6 7 8 9 10 11 12; do gets 1 acme-2 200 || return 1; done; }
step "without the limit all calls are served again" until_true 10 served_again
step "no key reached the endpoint" equals "$(seen keys)" 0
step "no key stands in a log" bash -c "! grep -qE 'acme-[123]|other-1|unknown-key' $work/daemon-*.log"

[ $failures = 0 ] || { tail -n 10 "$work"/daemon-*.log; exit 1; }
