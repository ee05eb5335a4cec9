# Sourced by the scripts in review/6 to review/10: starts a small site of the users' platform on loopback addresses, with the
# daemon as the deploy file starts it and the project's own stand-ins, and ends it when the script exits.
# Set `here` to the folder of the case before.

cd "$(dirname "${BASH_SOURCE[0]}")/.."
root=$PWD
standins=$root/target/review-2/bin
work=$(mktemp -d)
trouble=${TROUBLE:-1}
declare -A pid_of=()

finish() {
    local pid
    exec 2>/dev/null # the shell reports each process that is killed
    for pid in "${pid_of[@]}"; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -KILL "$pid" 2>/dev/null || true
    done
    for pid in "${pid_of[@]}" $(jobs -p); do
        kill -KILL "$pid" 2>/dev/null || true
        wait "$pid" || true
    done
    rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM

# Writes a line with the seconds since the start to record.txt.
began=$(date +%s%N)
seconds() { awk -v ns=$(($(date +%s%N) - began)) 'BEGIN { printf "%.3f", ns / 1e9 }'; }
record() { printf '%8s  %s\n' "$(seconds)" "$*" | tee -a "$here/record.txt"; }
: >"$here/record.txt"

cannot_run() {
    record "cannot run: $*"
    exit 2
}
for program in target/bin/turmericplankd target/review-2/bin/turmericplank-sitestore target/review-2/bin/turmericplank-siteendpoint; do
    [ -x "$program" ] || cannot_run "$program is missing; run the build of deploy/system.toml and review/build-2.sh"
done
for program in curl awk base64; do
    command -v $program >/dev/null || cannot_run "$program is missing"
done

# A range of 100 ports of which none is in use.
is_used() { (: <>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }
find_ports() {
    local try port
    for try in $(seq 50); do
        base=$((12000 + RANDOM % 180 * 100))
        for port in $(seq $base $((base + 69))); do
            ! is_used "$port" || continue 2
        done
        return
    done
    cannot_run "no free ports"
}
find_ports
store=127.0.0.1:$base
endpoint() { echo "127.0.0.1:$((base + $1))"; } # NUMBER, 1 to 19
front() { echo "127.0.0.1:$((base + 10 + 10 * $1))"; } # DAEMON, 1 to 5

until_true() { # SECONDS COMMAND...
    local deadline=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ $SECONDS -lt $deadline ] || return 1
        sleep 0.1
    done
}

start() { # NAME PROGRAM ARGUMENT...
    local name=$1
    shift
    "$@" >>"$work/$name.log" 2>&1 &
    pid_of[$name]=$!
}
kill_now() { # NAME...
    local name
    {
        for name in "$@"; do kill -KILL "${pid_of[$name]}"; done
        for name in "$@"; do wait "${pid_of[$name]}"; done
    } 2>/dev/null
    for name in "$@"; do unset "pid_of[$name]"; done
}

start_store() {
    start store "$standins/turmericplank-sitestore" --listen "$store"
    until_true 10 curl -s -m 1 -o /dev/null "http://$store/" || cannot_run "the store does not answer"
}

# settings DAEMON: a settings file like that of an entry VM of a small deployment.
settings() {
    local port=$((base + 10 + 10 * $1))
    cat <<T
nodeName = "front-a-$1"
role = "entry"
machineClass = "front"
serves = ["front", "directory"]
ip = "127.0.0.1"
zone = "zone-a"
region = "region-a"
internalPorts = [$((port + 4)), $((port + 5))]
seeds = []
firstStart = ${first_start:-true}
countsAsLoss = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"]
[zones]
zone-a = "region-a"
[listen]
front = "127.0.0.1:$port"
ready = "127.0.0.1:$((port + 1))"
control = "127.0.0.1:$((port + 2))"
directory = "127.0.0.1:$((port + 3))"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4200
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
backMs = 250
maxSkewMs = 5000
retryRatio = 0.2
retryWindowS = 10
retrySlack = 54
recoveryS = 12
passMs = 120
retryAfterS = 0
fenceChecked = true
leaseMs = 3000
thawSlackMs = 300
ceilingWindowS = 5
ceilingOverage = 1.1
ttl_max_s = 5
[platform]
address = "$store"
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 8.0
partWritesS = 150
rowBytes = 65536
across = false
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
T
}
# start_daemon DAEMON: as deploy/system.toml does, with the settings file that the platform names.
start_daemon() {
    settings "$1" >"$work/settings-$1.toml"
    TURMERICPLANK_CONFIG=$work/settings-$1.toml start "daemon-$1" target/bin/turmericplankd --site platform
}
is_ready() { [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' "http://127.0.0.1:$((base + 11 + 10 * $1))/-/ready")" = 200 ]; }

# put_configuration JSON: as the operator writes it.
put_configuration() {
    local value
    value=$(printf '%s' "$1" | base64 | tr -d '\n')
    curl -s -m 5 -o /dev/null -d "{\"expected\":[],\"writes\":[{\"table\":\"op\",\"part\":\"\",\"key\":\"config\",\"value\":\"$value\"}],\"remove\":[]}" \
        "http://$store/-/rows-tx" || cannot_run "the store takes no configuration"
}
