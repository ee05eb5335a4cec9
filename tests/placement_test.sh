#!/usr/bin/env bash
# Placement end to end: two daemons, four engines that start without models, and the platform.
set -uo pipefail
bin=$(cd "$1" && pwd)
work=$(mktemp -d)
declare -A pids
failures=0

stop_all() {
    for it in "${pids[@]}"; do kill -9 "$it" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$work"
}
trap stop_all EXIT

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

within() { # TENTHS_OF_A_SECOND CONDITION...: repeats the condition until it holds or the time is over
    for _ in $(seq "$1"); do "${@:2}" && return 0; sleep 0.1; done
    echo "  condition does not hold: ${*:2}"
    return 1
}

waitFor() { within 100 curl -s -o /dev/null "$1" || { cat "$work"/daemon*.log; exit 1; }; }
inventory() { curl -s --max-time 2 "127.0.0.1:2401$1/inventory"; }
replicas() { # MODEL VERSION: number of engines on which it is resident
    local n=0
    for it in 1 2 3 4; do
        inventory $it | grep -q "{\"model\":\"$1\",\"version\":\"$2\"}" && n=$((n + 1))
    done
    echo $n
}
hasMinReplicas() { [ "$(replicas "$1" "$2")" -ge "$3" ]; }
hasExactReplicas() { [ "$(replicas "$1" "$2")" -eq "$3" ]; }
allModelsResident() { hasMinReplicas a 1 2 && hasMinReplicas b 1 1 && hasMinReplicas c 1 1; }
adapterResident() { for it in 1 2 3 4; do inventory $it | grep -q '"adapters":\["x"\]' && return 0; done; return 1; }
noOvercommitAttempts() { for it in 1 2 3 4; do inventory $it | grep -q '"overcommit_attempts":[1-9]' && return 1; done; return 0; }
answersChat() { curl -sN --max-time 10 "127.0.0.1:24101/v1/chat/completions" -d "{\"model\":\"$1\",\"stream\":true,\"max_tokens\":2,\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}" | grep -q DONE; }
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
startEngine() { # NUMBER
    local checks=()
    [ "$1" = 1 ] || [ "$1" = 3 ] && checks=(--checks-fencing)
    start "engine$1" "$bin/turmericplank-engine" --listen "127.0.0.1:2401$1" --memory-mib 10000 --first-token-ms 20 --token-ms 5 --load-lag-ms 50 \
        --load-seconds-per-model 0.5 "${checks[@]}"
}
for n in 1 2 3 4; do startEngine $n; done
startDaemon() { # NUMBER
    start "daemon$1" "$bin/turmericplankd" --document "$work/document.toml" --set "id=entry-$1" --set zone=test/a --set "caller_listen=127.0.0.1:2410$1" \
        --set "peer_listen=127.0.0.1:2411$1" --set "operator_listen=127.0.0.1:2412$1" --set platform=127.0.0.1:24001
}
startDaemon 1
startDaemon 2
waitFor 127.0.0.1:24121/healthz
waitFor 127.0.0.1:24122/healthz

check "all models become resident on empty engines" within 300 allModelsResident
check "an adapter becomes resident" within 100 adapterResident
check "a placed model answers" within 100 answersChat a
check "a placed adapter answers" within 100 answersChat x
check "one daemon holds the lease" [ "$(holder | wc -l)" = 1 ]

killed=$(for it in 1 2 3 4; do inventory $it | grep -q '"model":"b"' && echo $it; done | head -1)
kill -9 "${pids[engine$killed]}"
check "models of a killed engine are placed on other engines" within 300 allModelsResident
check "a model of a killed engine answers" within 100 answersChat b
startEngine "$killed"

for it in $sections; do
    section "$it" 2 | curl -s -o /dev/null -X PUT -H 'If-Match: 0' --data-binary @- "127.0.0.1:24121/admin/sections/$it"
done
digest=$(curl -s 127.0.0.1:24121/admin/document | grep -o '"digest": *"[^"]*"' | head -1 | cut -d'"' -f4)
accepted=$(curl -s -X POST 127.0.0.1:24121/admin/accept -d "{\"digest\": \"$digest\"}")
pollsWithoutModel=0
updated=no
for _ in $(seq 300); do
    [ $(($(replicas a 1) + $(replicas a 2))) -ge 1 ] || pollsWithoutModel=$((pollsWithoutModel + 1))
    hasMinReplicas a 2 2 && hasExactReplicas a 1 0 && updated=yes && break
    sleep 0.1
done
check "a new version replaces the old one" [ $updated = yes ]
[ $updated = yes ] || echo "  answer to accept: $accepted"
check "the model stays resident throughout the version change" [ $pollsWithoutModel = 0 ]
check "the new version answers" within 100 answersChat a

firstHolder=$(holder)
kill -9 "${pids[daemon$firstHolder]}"
sleep 1
check "the other daemon takes over the lease" within 300 hasHolder
check "the lease has a new term" grep -q '"term":2' <<<"$(curl -s "127.0.0.1:2412$((3 - firstHolder))/admin/placement")"
check "no engine was ordered to exceed its memory" noOvercommitAttempts
[ $failures = 0 ] || { grep -h 'placement:' "$work"/daemon*.log | tail -40; }
exit $((failures > 0))
