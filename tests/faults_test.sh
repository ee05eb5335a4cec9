#!/usr/bin/env bash
# Injects random faults of all kinds under load, some at the same time: no answer and no booking may have a wrong outcome.
# usage: tests/faults_test.sh BIN [SEED]
set -euo pipefail
bin=$(cd "$1" && pwd)
seed=${2:-1}
cd "$(dirname "$0")/.."
base=21600
. tools/processes.sh
. tests/cluster.sh
RANDOM=$seed

set_faults() { curl -s -m 3 -o /dev/null -d "$2" "http://$1/faults" || true; }

# set_faults_briefly ADDRESS FAULTS: sets faults and clears them after 1.5 s.
set_faults_briefly() {
    set_faults "$1" "$2"
    sleep 1.5
    set_faults "$1" '{}'
}

restart_engine() {
    stop "engine-$1"
    sleep 0.5
    start_engine "$1"
}

restart_daemon() {
    stop "daemon-$1"
    sleep 0.5
    start_daemon "$1"
}

pause_daemon() {
    stop "daemon-$1" STOP
    sleep 2
    stop "daemon-$1" CONT
}

inject_faults() {
    local n
    for _ in $(seq 12); do
        sleep 1
        n=$((1 + RANDOM % 3))
        case $((RANDOM % 9)) in
        0) set_faults "$(engine $n)" '{"silent":true,"silent_open_only":true}' ;;
        1) restart_engine $n ;;
        2) set_faults "$(instance $((1 + RANDOM % 2)))" '{"lose_answers":3}' ;;
        3) set_faults "$platform" '{"lose_answers":3}' ;;
        4) set_faults_briefly "$platform" '{"outage":true}' ;;
        5) set_faults_briefly "$platform" '{"delay_ms":800}' ;;
        6) set_faults_briefly "$platform" '{"silent":true,"silent_open_only":true}' ;;
        7) pause_daemon $n ;;
        8) restart_daemon $n ;;
        esac
    done
}

start_cluster
load_while inject_faults 22 "$seed"
[ "$failures" = 0 ] || { tail -n 5 "$work"/daemon-*.log; exit 1; }
