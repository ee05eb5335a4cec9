# Starts programs in the background and, when the script exits, kills each of them by its process id.
# Sourced by tools/quickstart, tools/measure-relay and the end-to-end tests; set `bin` to the folder of the programs before.
work=$(mktemp -d)
declare -A pid_of=()

stop_all() {
    local pid
    for pid in "${pid_of[@]}"; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -KILL "$pid" 2>/dev/null || true
    done
    for pid in "${pid_of[@]}"; do wait "$pid" 2>/dev/null || true; done
    pid_of=()
    rm -rf "$work"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

# start NAME PROGRAM ARGUMENT...: starts a program of the build; its output goes to $work/NAME.log.
start() {
    local name=$1 program=$2
    shift 2
    "$bin/$program" "$@" >"$work/$name.log" 2>&1 &
    pid_of[$name]=$!
}

# stop NAME [SIGNAL]: sends a signal to a started program, by default KILL; after KILL, waits until the program has ended.
stop() {
    local pid=${pid_of[$1]}
    kill "-${2:-KILL}" "$pid"
    if [ "${2:-KILL}" = KILL ]; then
        wait "$pid" 2>/dev/null || true
        unset "pid_of[$1]"
    fi
}

# until_true SECONDS COMMAND...: repeats a command until it succeeds; fails after the given time.
until_true() {
    local deadline=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$deadline" ] || return 1
        sleep 0.1
    done
}

# answers URL: whether an HTTP server answers at the URL, with any status.
answers() { curl -s -m 2 -o /dev/null "$1"; }

# list_vms PLATFORM ID=ADDRESS=ZONE...: sets the platform's list of VMs, all with state live.
list_vms() {
    local platform=$1 vm list= id address zone
    shift
    for vm in "$@"; do
        IFS== read -r id address zone <<<"$vm"
        list+=${list:+,}"{\"id\":\"$id\",\"address\":\"$address\",\"zone\":\"$zone\",\"state\":\"live\"}"
    done
    until_true 10 answers "http://$platform/vms" && curl -s -X PUT -d "{\"vms\":[$list]}" "http://$platform/vms"
}

# step NAME COMMAND...: runs a command and prints whether it succeeded; `failures` counts the failed steps.
failures=0
step() {
    local name=$1
    shift
    if "$@"; then
        printf 'ok      %s\n' "$name"
    else
        printf 'FAILED  %s\n' "$name"
        failures=$((failures + 1))
    fi
}
