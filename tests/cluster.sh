# Starts a small cluster for tests under load: 3 daemons, 3 engines, 2 instances of a service and the platform.
# Source it after tools/processes.sh and set `base` to the first of 60 free ports before.
host=127.0.0.1
platform=$host:$base
instance() { echo "$host:$((base + 2 + $1))"; }
engine() { echo "$host:$((base + 10 + $1))"; }
caller() { echo "$host:$((base + 20 + $1))"; }
peer() { echo "$host:$((base + 30 + $1))"; }
operator() { echo "$host:$((base + 40 + $1))"; }

write_document() {
    local n
    printf '[site]\nname = "test"\n[models.advisor]\nversion = "1"\nmemory_mib = 1024\n[models.triage]\nversion = "1"\nmemory_mib = 1024\n'
    for n in 1 2 3; do
        printf '[endpoints.engine-%d]\naddress = "%s"\nzone = "local/a"\nmemory_mib = 8192\nchecks_fencing = true\n' $n "$(engine $n)"
    done
    printf '[services.scheduler]\n'
    for n in 1 2; do
        printf '[[services.scheduler.instances]]\nid = "scheduler-%d"\naddress = "%s"\nzone = "local/a"\n' $n "$(instance $n)"
    done
    printf '[[services.scheduler.operations]]\nmethod = "GET"\npath = "/visits"\nrepeatable = true\n'
}

start_engine() {
    start "engine-$1" turmericplank-engine --listen "$(engine $1)" --resident advisor:1024 --resident triage:1024 --memory-mib 8192
}

start_daemon() {
    start "daemon-$1" turmericplankd --document "$work/document.toml" --set "id=daemon-$1" --set zone=local/a --set "caller_listen=$(caller $1)" \
        --set "peer_listen=$(peer $1)" --set "operator_listen=$(operator $1)" --set "platform=$platform" --set log_level=warning
}

serves() { "$bin/turmericplank" load --entry "$(caller $1)" --model advisor --count 1 --rate 20 >/dev/null; }

start_cluster() {
    local n
    write_document >"$work/document.toml"
    start platform turmericplank-platform --listen "$platform"
    for n in 1 2; do start "service-$n" turmericplank-service --listen "$(instance $n)" --instance "scheduler-$n"; done
    for n in 1 2 3; do start_engine $n; done
    list_vms "$platform" "daemon-1=$(peer 1)=local/a" "daemon-2=$(peer 2)=local/a" "daemon-3=$(peer 3)=local/a"
    for n in 1 2 3; do start_daemon $n; done
    for n in 1 2 3; do until_true 20 serves $n; done
}

# load ARGUMENT...: sends model calls, lookups and bookings, half of the bookings twice, through all daemons; writes the results
# to load.json.
load() {
    "$bin/turmericplank" load --entry "$(caller 1)" --entry "$(caller 2)" --entry "$(caller 3)" --model advisor --model triage --service scheduler \
        --service-at "$(instance 1)" --service-at "$(instance 2)" --bookings 0.25 --lookups 0.25 --duplicates 0.5 --rate 40 --json "$@" >"$work/load.json"
}

# load_while COMMAND SECONDS SEED: runs a command that causes faults during a load, then checks the results of the load.
load_while() {
    load --seconds "$2" --seed "$3" &
    local load_pid=$!
    "$1"
    step "load finished without wrong outcomes" wait $load_pid
    step "every call ended and the number of runs of every booking is known" all_calls_ended
    step "more than 80 % of the calls were answered" mostly_answered
    jq -c '{outcomes: .daemons.outcomes, bookings, wrong_outcomes, unanswered}' "$work/load.json"
}

all_calls_ended() { jq -e '.wrong_outcomes == 0 and .bookings.runs_known and .unanswered == 0' "$work/load.json" >/dev/null; }
mostly_answered() { jq -e '.daemons | .outcomes.answered > 0.8 * (.model_calls + .service_calls)' "$work/load.json" >/dev/null; }
