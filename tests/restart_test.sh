#!/usr/bin/env bash
# Kills, pauses, restarts and drains daemons under load: no answer and no booking may have a wrong outcome.
set -euo pipefail
bin=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
base=21300
. tools/processes.sh
. tests/cluster.sh

restart_daemons() {
    sleep 3
    stop daemon-2
    sleep 3
    stop daemon-3 STOP
    sleep 4
    stop daemon-3 CONT
    start_daemon 2
    sleep 3
    stop daemon-1 TERM
}

start_cluster
load_while restart_daemons 17 3
step "the restarted daemon serves requests" serves 2
[ "$failures" = 0 ] || { tail -n 5 "$work"/daemon-*.log; exit 1; }
