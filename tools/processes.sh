# Starts programs in the background and stops all of them, each by its own process id, when the script ends.
# Sourced by tools/quickstart and the whole-path tests. Needs `bin`, the folder of the programs.
work=$(mktemp -d)
declare -A pid_of=()

stop_all() {
    local it
    for it in "${pid_of[@]}"; do
        kill -CONT "$it" 2>/dev/null || true
        kill -KILL "$it" 2>/dev/null || true
    done
    for it in "${pid_of[@]}"; do wait "$it" 2>/dev/null || true; done
    pid_of=()
    rm -rf "$work"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

# start NAME PROGRAM ARGUMENT...: runs a program of the build, its output in $work/NAME.log.
start() {
    local name=$1 program=$2
    shift 2
    "$bin/$program" "$@" >"$work/$name.log" 2>&1 &
    pid_of[$name]=$!
}

# stop NAME [SIGNAL]: signals a started program; without a signal it is killed.
stop() {
    local it=${pid_of[$1]}
    kill "-${2:-KILL}" "$it"
    if [ "${2:-KILL}" = KILL ]; then
        wait "$it" 2>/dev/null || true
        unset "pid_of[$1]"
    fi
}

# until_true SECONDS COMMAND...: repeats a command until it succeeds.
until_true() {
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$end" ] || return 1
        sleep 0.1
    done
}

# answers URL: whether a program answers there.
answers() { curl -s -m 2 -o /dev/null "$1"; }

# list_machines PLATFORM ID=ADDRESS=ZONE...: the platform's list of VMs, all live.
list_machines() {
    local platform=$1 it list= id address zone
    shift
    for it in "$@"; do
        IFS== read -r id address zone <<<"$it"
        list+=${list:+,}"{\"id\":\"$id\",\"address\":\"$address\",\"zone\":\"$zone\",\"state\":\"live\"}"
    done
    until_true 10 answers "http://$platform/vms" && curl -s -X PUT -d "{\"vms\":[$list]}" "http://$platform/vms"
}

# step NAME COMMAND...: runs a step and reports it; `failures` counts the steps that failed.
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
