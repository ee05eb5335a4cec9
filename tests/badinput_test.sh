#!/usr/bin/env bash
# Bad input at the sockets of a real daemon: each mistake gets its typed error, and the daemon serves on.
set -euo pipefail
bin=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
. tools/processes.sh

host=127.0.0.1
caller=$host:21203
operator=$host:21205
cat >"$work/document.toml" <<EOF
[site]
name = "badinput"
[models.advisor]
version = "1"
memory_mib = 1024
[endpoints.engine-1]
address = "$host:21201"
zone = "local/a"
memory_mib = 8192
checks_fencing = true
[services.scheduler]
[[services.scheduler.instances]]
id = "scheduler-1"
address = "$host:21202"
zone = "local/a"
[[services.scheduler.operations]]
method = "GET"
path = "/visits"
repeatable = true
EOF
start platform turmericplank-platform --listen "$host:21200"
start engine turmericplank-engine --listen "$host:21201" --resident advisor:1024 --memory-mib 8192
start service turmericplank-service --listen "$host:21202"
start daemon turmericplankd --document "$work/document.toml" --set id=entry-1 --set zone=local/a --set "caller_listen=$caller" \
    --set "peer_listen=$host:21204" --set "operator_listen=$operator" --set "platform=$host:21200"

chat='{"model":"advisor","messages":[{"role":"user","content":"valve"}],"max_tokens":2}'
answers_chat() { [ "$(curl -s -m 10 -o /dev/null -w '%{http_code}' -d "$chat" "http://$caller/v1/chat/completions")" = 200 ]; }

# refused STATUS CODE CURL-ARGUMENT...: the answer has this status, this code and outcome not_run, and the daemon serves on.
refused() {
    local status=$1 code=$2 got
    shift 2
    got=$(curl -s -m 20 -o "$work/body" -w '%{http_code}' "$@") || true
    [ "$got" = "$status" ] || { echo "        status $got: $(head -c 300 "$work/body")"; return 1; }
    jq -e --arg code "$code" '.error.code == $code and .error.outcome == "not_run"' "$work/body" >/dev/null ||
        { echo "        $(head -c 300 "$work/body")"; return 1; }
    answers_chat
}

# raw BYTES SECONDS: sends bytes as they are, keeps the connection open and prints what comes back.
raw() {
    exec 3<>"/dev/tcp/$host/21203"
    printf '%b' "$1" >&3
    timeout "$2" cat <&3 || true
    exec 3>&-
}

slow_sender() {
    local answer
    answer=$(raw 'POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{"mod' 15)
    grep -q 'HTTP/1.1 408' <<<"$answer" && grep -q '"code":"request_timeout"' <<<"$answer" && answers_chat
}

closed_half_way() {
    local n
    for n in $(seq 20); do raw 'POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{"mod' 0.05 >/dev/null; done
    answers_chat
}

closed_amid_answer() {
    local long='{"model":"advisor","messages":[{"role":"user","content":"valve"}],"max_tokens":400,"stream":true}'
    curl -s -m 1 -o "$work/body" -d "$long" "http://$caller/v1/chat/completions" || true
    grep -q '"content"' "$work/body" || return 1
    until_true 5 bash -c "[ \$(curl -s http://$host:21201/inventory | jq .running) = 0 ]" && answers_chat
}

no_runs() { [ "$(curl -s "http://$host:21202/runs")" = '[]' ]; }

until_true 15 answers_chat || { echo "the daemon does not serve"; tail "$work"/*.log; exit 1; }
url=http://$caller/v1/chat/completions
head -c 20000 /dev/zero | tr '\0' a >"$work/long-header"
head -c 5000000 /dev/zero | tr '\0' a >"$work/long-body"
step "broken JSON" refused 400 bad_request -d '{"model":' "$url"
step "JSON of another shape" refused 400 bad_request -d '[1]' "$url"
step "no model named" refused 400 bad_request -d '{"messages":[{"role":"user","content":"valve"}]}' "$url"
step "unknown model" refused 404 unknown_model -d '{"model":"absent","messages":[{"role":"user","content":"valve"}]}' "$url"
step "unknown service" refused 404 unknown_service "http://$caller/services/absent/visits"
step "no key on an unrepeatable call" refused 400 missing_idempotency_key -d visit "http://$caller/services/scheduler/visits"
step "... which did not run" no_runs
step "deadline in the past" refused 408 deadline_passed -H 'X-Deadline: 1000' -d "$chat" "$url"
step "deadline that is no number" refused 400 bad_header -H 'X-Deadline: soon' -d "$chat" "$url"
step "priority that is none" refused 400 bad_header -H 'X-Priority: highest' -d "$chat" "$url"
step "header over its limit" refused 431 headers_too_large -H "X-Long: $(cat "$work/long-header")" -d "$chat" "$url"
step "body over its limit" refused 413 body_too_large --data-binary "@$work/long-body" "$url"
step "unknown path" refused 404 path_not_found "http://$caller/absent"
step "wrong method" refused 405 method_not_allowed -X DELETE "$url"
step "bytes that are no HTTP" grep -q '"code":"malformed_http"' <<<"$(raw 'NONSENSE\r\n\r\n' 5)"
step "slow sender" slow_sender
step "connection closed half way through a request" closed_half_way
step "connection closed amid an answer ends the stream at the engine" closed_amid_answer
[ "$failures" = 0 ] || { tail -n 20 "$work/daemon.log"; exit 1; }
