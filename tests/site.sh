# Starts a site of the users' platform on stand-ins: the metadata store, engines, instances of a plain service and daemons.
# Sourced by end-to-end tests after tools/processes.sh.

# Ports that depend on the process id, to keep parallel runs apart; the next ones if another run holds them.
for n in $(seq $$ $(($$ + 94))); do
    base=$((10000 + (n % 95) * 100 + 50))
    exec {ports_lock}>"/tmp/turmericplank-ports-$base"
    flock -n $ports_lock && ! (: <>"/dev/tcp/127.0.0.1/$base") 2>/dev/null && break
    exec {ports_lock}>&-
done
store=127.0.0.1:$base
engine() { echo "127.0.0.1:$((base + 10 + $1))"; }
desk() { echo "127.0.0.1:$((base + 20 + $1))"; }
caller() { echo "127.0.0.1:$((base + 30 + 4 * $1))"; }
ready() { echo "127.0.0.1:$((base + 31 + 4 * $1))"; }
directory() { echo "127.0.0.1:$((base + 32 + 4 * $1))"; }

settings() { # NUMBER
    cat <<T
nodeName = "entry-$1"
ip = "127.0.0.1"
zone = "z$1"
internalPorts = [$((base + 22 + 2 * $1)), $((base + 23 + 2 * $1))]
[listen]
front = "$(caller "$1")"
ready = "$(ready "$1")"
directory = "$(directory "$1")"
[bounds]
graceS = 8
[platform]
address = "$store"
T
}

configuration() { # VERSION EXTRA_ROUTES
    cat <<T
{"version":$1,"routes":[
{"name":"guide","host":"site.example","prefix":"/guide/","kind":"stream","timeoutMs":15000,"goalMs":400,"priority":0,"service":"advisor","maxAttempts":2,"resumable":true,"gapGoalMs":300},
{"name":"fixed","host":"site.example","prefix":"/fixed/","kind":"stream","timeoutMs":15000,"goalMs":400,"priority":0,"service":"advisor","maxAttempts":1,"resumable":false,"gapGoalMs":300},
{"name":"book","host":"site.example","prefix":"/book/","kind":"unsafe","timeoutMs":3000,"goalMs":300,"priority":2,"service":"desk","maxAttempts":1}$2],
"services":[{"name":"advisor","healthPath":"/health","maxConns":100,"engine":{"slots":16,"kvCapacity":1000,"weightsMb":100,"adapterSlots":4,"loadsPerS":2,
"models":[{"name":"m","weightsMb":40,"loadS":0.2,"adapters":2,"adapterMb":1},{"name":"n","weightsMb":40,"loadS":0.2,"adapters":0,"adapterMb":1}]}},
{"name":"desk","healthPath":"/health","maxConns":100}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}
T
}

put_configuration() {
    local value
    value=$(configuration "$@" | base64 -w0)
    curl -s -m 5 -o /dev/null -d "{\"writes\":[{\"table\":\"op\",\"part\":\"\",\"key\":\"config\",\"value\":\"$value\"}]}" "http://$store/-/rows-tx"
}

set_faults() { curl -s -m 5 -o /dev/null -X POST "http://$1/faults" -d "$2"; }
declare -A zone_of=() version_of=() # of the engines, by number; z1 and v1 where not set
event_ms=75
start_engine() { # NUMBER MODEL...
    local n=$1
    shift
    start "engine-$n" turmericplank-siteendpoint --listen "$(engine $n)" --address "$(engine $n)" --store "$store" --id "engine-$n" --zone "${zone_of[$n]:-z1}" \
        --version "${version_of[$n]:-v1}" --events 40 --event-ms "$event_ms" $(printf -- '--model %s ' "$@")
}
# An engine, or an instance of the plain service, whose answers have neither a length nor chunks.
unframed() { echo "127.0.0.1:$((base + 40 + $1))"; }
start_unframed_engine() { # NUMBER MODEL...
    local n=$1
    shift
    start "engine-$n" turmericplank-siteendpoint --listen "$(engine $n)" --address "$(unframed $n)" --unframed "$(unframed $n)" --store "$store" --id "engine-$n" \
        --zone z1 --events 40 --event-ms "$event_ms" $(printf -- '--model %s ' "$@")
}
start_unframed_desk() {
    start "desk-$1" turmericplank-siteendpoint --listen "$(desk $1)" --address "$(unframed $((5 + $1)))" --unframed "$(unframed $((5 + $1)))" --store "$store" \
        --id "desk-$1" --service desk --zone z1
}
start_desk() { start "desk-$1" turmericplank-siteendpoint --listen "$(desk $1)" --address "$(desk $1)" --store "$store" --id "desk-$1" --service desk --zone z1; }
start_daemon() {
    settings "$1" >"$work/settings-$1.toml"
    start "daemon-$1" turmericplankd --site platform --settings "$work/settings-$1.toml"
}
call() { # DAEMON PATH ID MODEL [CURL ARGUMENT...]
    curl -sN -m 20 -X POST -H 'Host: site.example' -H "Request-Id: $3" -H "Model: $4" -H 'Token-Usage: 10,40' -H "Prompt-Prefix: ${prompt:-1:5,2:5}" -H 'Deadline-Ms: 15000' \
        "${@:5}" -d question "http://$(caller "$1")$2"
}
status() { call "$@" -o /dev/null -w '%{http_code}'; }
words() { grep -o 'word[0-9]*' | tr '\n' ' '; }
all_words=$(for n in $(seq 40); do printf 'word%d ' $n; done)
is_complete() { [ "$(words <"$1")" = "$all_words" ]; }
equals() { [ "$1" = "$2" ] || { echo "  expected '$2', got '$1'"; return 1; }; }
ready_is() { [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' "http://$(ready "$1")/-/ready")" = "$2" ]; }
runs_at() { curl -s -m 2 "http://$(engine $1)/runs" | jq -e "has(\"$2\")" >/dev/null; } # ENGINE REQUEST
answers_200() { [ "$(status "$@")" = 200 ]; }
