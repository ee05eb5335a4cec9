#!/usr/bin/env bash
# Faults of every kind, drawn with a seed and some of them together, under load: no answer and no booking may come out wrong.
# usage: faults_test.sh BIN [SEED]
set -euo pipefail
bin=$(cd "$1" && pwd)
seed=${2:-1}
cd "$(dirname "$0")/.."
base=21600
. tools/processes.sh
. tests/cluster.sh
RANDOM=$seed

fault() { curl -s -m 3 -o /dev/null -d "$2" "http://$1/faults" || true; }

# for_a_while ADDRESS FAULTS: asks for faults and takes them back.
for_a_while() {
    fault "$1" "$2"
    sleep 1.5
    fault "$1" '{}'
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

disturb() {
    local one
    for _ in $(seq 12); do
        sleep 1
        one=$((1 + RANDOM % 3))
        case $((RANDOM % 9)) in
        0) fault "$(engine $one)" '{"silent":true,"silent_open_only":true}' ;;
        1) restart_engine $one ;;
        2) fault "$(instance $((1 + RANDOM % 2)))" '{"lose_answers":3}' ;;
        3) fault "$platform" '{"lose_answers":3}' ;;
        4) for_a_while "$platform" '{"outage":true}' ;;
        5) for_a_while "$platform" '{"delay_ms":800}' ;;
        6) for_a_while "$platform" '{"silent":true,"silent_open_only":true}' ;;
        7) pause_daemon $one ;;
        8) restart_daemon $one ;;
        esac
    done
}

start_cluster
load_while disturb 22 "$seed"
[ "$failures" = 0 ] || { tail -n 5 "$work"/daemon-*.log; exit 1; }
