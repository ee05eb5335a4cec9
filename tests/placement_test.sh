#!/usr/bin/env bash
# Placement at the sockets: two daemons, four engines that start empty, and the platform.
set -uo pipefail
bin=$(cd "$1" && pwd)
work=$(mktemp -d)
declare -A pids
failures=0

finish() {
    for it in "${pids[@]}"; do kill -9 "$it" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$work"
}
trap finish EXIT

start() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >>"$work/$name.log" 2>&1 &
    pids[$name]=$!
}

check() { # DESCRIPTION CONDITION...
    if "${@:2}"; then echo "ok: $1"; else
        echo "FAILED: $1"
        failures=$((failures + 1))
    fi
}

within() { # TENTHS CONDITION...
    for _ in $(seq "$1"); do "${@:2}" && return 0; sleep 0.1; done
    echo "  still not: ${*:2}"
    return 1
}

waitFor() { within 100 curl -s -o /dev/null "$1" || { cat "$work"/daemon*.log; exit 1; }; }
inventory() { curl -s --max-time 2 "127.0.0.1:2401$1/inventory"; }
copies() { # MODEL VERSION: engines that hold it
    local n=0
    for it in 1 2 3 4; do
        inventory $it | grep -q "{\"model\":\"$1\",\"version\":\"$2\"}" && n=$((n + 1))
    done
    echo $n
}
hasCopies() { [ "$(copies "$1" "$2")" -ge "$3" ]; }
hasExactly() { [ "$(copies "$1" "$2")" -eq "$3" ]; }
allServe() { hasCopies a 1 2 && hasCopies b 1 1 && hasCopies c 1 1; }
adapterServes() { for it in 1 2 3 4; do inventory $it | grep -q '"adapters":\["x"\]' && return 0; done; return 1; }
noAttempts() { for it in 1 2 3 4; do inventory $it | grep -q '"overcommit_attempts":[1-9]' && return 1; done; return 0; }
answers() { curl -sN --max-time 10 "127.0.0.1:24101/v1/chat/completions" -d "{\"model\":\"$1\",\"stream\":true,\"max_tokens\":2,\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}" | grep -q DONE; }
holder() { for it in 1 2; do curl -s "127.0.0.1:2412$it/admin/placement" | grep -q '"is_holder":true' && echo $it; done; }
hasHolder() { [ -n "$(holder)" ]; }

section() { # NAME VERSION_OF_A
    case $1 in
    site) printf '[site]\nname = "test"\n' ;;
    placement) printf '[placement]\nweight_loads_per_second = 4.0\n' ;;
    models)
        printf '[models.a]\nversion = "%s"\nmemory_mib = 4000\nminimum_replicas = 2\n' "$2"
        printf '[models.b]\nversion = "1"\nmemory_mib = 5000\n[models.c]\nversion = "1"\nmemory_mib = 3000\n'
        ;;
    adapters) printf '[adapters.x]\nmodel = "c"\nmemory_mib = 100\n' ;;
    endpoints)
        for n in 1 2 3 4; do
            printf '[endpoints.engine-%s]\naddress = "127.0.0.1:2401%s"\nzone = "test/%s"\nmemory_mib = 10000\nchecks_fencing = %s\n' \
                $n $n $([ $n -le 2 ] && echo a || echo b) $([ $n = 1 ] || [ $n = 3 ] && echo true || echo false)
        done
        ;;
    esac
}
sections="site placement models adapters endpoints"
for it in $sections; do section "$it" 1; done >"$work/document.toml"

start platform "$bin/turmericplank-platform" --listen 127.0.0.1:24001
engine() { # NUMBER
    local checks=()
    [ "$1" = 1 ] || [ "$1" = 3 ] && checks=(--checks-fencing)
    start "engine$1" "$bin/turmericplank-engine" --listen "127.0.0.1:2401$1" --memory-mib 10000 --first-token-ms 20 --token-ms 5 --load-lag-ms 50 \
        --load-seconds-per-model 0.5 "${checks[@]}"
}
for n in 1 2 3 4; do engine $n; done
daemon() { # NUMBER
    start "daemon$1" "$bin/turmericplankd" --document "$work/document.toml" --set "id=entry-$1" --set zone=test/a --set "caller_listen=127.0.0.1:2410$1" \
        --set "peer_listen=127.0.0.1:2411$1" --set "operator_listen=127.0.0.1:2412$1" --set platform=127.0.0.1:24001
}
daemon 1
daemon 2
waitFor 127.0.0.1:24121/healthz
waitFor 127.0.0.1:24122/healthz

check "all models become resident on empty engines" within 300 allServe
check "an adapter stands beside its base model" within 100 adapterServes
check "a model that was placed answers" within 100 answers a
check "an adapter that was placed answers" within 100 answers x
check "one daemon holds the lease" [ "$(holder | wc -l)" = 1 ]

lost=$(for it in 1 2 3 4; do inventory $it | grep -q '"model":"b"' && echo $it; done | head -1)
kill -9 "${pids[engine$lost]}"
check "models of a lost engine are placed elsewhere" within 300 allServe
check "a model of a lost engine answers" within 100 answers b
engine "$lost"

for it in $sections; do
    section "$it" 2 | curl -s -o /dev/null -X PUT -H 'If-Match: 0' --data-binary @- "127.0.0.1:24121/admin/sections/$it"
done
digest=$(curl -s 127.0.0.1:24121/admin/document | grep -o '"digest": *"[^"]*"' | head -1 | cut -d'"' -f4)
accepted=$(curl -s -X POST 127.0.0.1:24121/admin/accept -d "{\"digest\": \"$digest\"}")
gaps=0
rolled=no
for _ in $(seq 300); do
    [ $(($(copies a 1) + $(copies a 2))) -ge 1 ] || gaps=$((gaps + 1))
    hasCopies a 2 2 && hasExactly a 1 0 && rolled=yes && break
    sleep 0.1
done
check "a new version replaces the old one" [ $rolled = yes ]
[ $rolled = yes ] || echo "  accepting answered: $accepted"
check "no moment without the model while versions roll" [ $gaps = 0 ]
check "the rolled model answers" within 100 answers a

first=$(holder)
kill -9 "${pids[daemon$first]}"
sleep 1
check "the other daemon takes the lease over" within 300 hasHolder
check "another term decides now" grep -q '"term":2' <<<"$(curl -s "127.0.0.1:2412$((3 - first))/admin/placement")"
check "no engine was asked to hold more than it can" noAttempts
[ $failures = 0 ] || { grep -h 'placement:' "$work"/daemon*.log | tail -40; }
exit $((failures > 0))
