#!/usr/bin/env bash
# Sends invalid input to a running daemon: each error must get its status and error code, and the daemon must keep serving.
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

# rejected STATUS CODE CURL-ARGUMENT...: checks that the answer has this status, this error code and the outcome not_run, and
# that the daemon still answers a chat request.
rejected() {
    local status=$1 code=$2 got
    shift 2
    got=$(curl -s -m 20 -o "$work/body" -w '%{http_code}' "$@") || true
    [ "$got" = "$status" ] || { echo "        status $got: $(head -c 300 "$work/body")"; return 1; }
    jq -e --arg code "$code" '.error.code == $code and .error.outcome == "not_run"' "$work/body" >/dev/null ||
        { echo "        $(head -c 300 "$work/body")"; return 1; }
    answers_chat
}

# send_raw BYTES SECONDS: sends bytes over TCP as they are, keeps the connection open for at most SECONDS and prints the answer.
send_raw() {
    exec 3<>"/dev/tcp/$host/21203"
    printf '%b' "$1" >&3
    timeout "$2" cat <&3 || true
    exec 3>&-
}

slow_sender() {
    local answer
    answer=$(send_raw 'POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{"mod' 15)
    grep -q 'HTTP/1.1 408' <<<"$answer" && grep -q '"code":"request_timeout"' <<<"$answer" && answers_chat
}

close_during_request() {
    local n
    for n in $(seq 20); do send_raw 'POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{"mod' 0.05 >/dev/null; done
    answers_chat
}

close_during_answer() {
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
step "malformed JSON" rejected 400 bad_request -d '{"model":' "$url"
step "JSON that is not an object" rejected 400 bad_request -d '[1]' "$url"
step "missing model" rejected 400 bad_request -d '{"messages":[{"role":"user","content":"valve"}]}' "$url"
step "unknown model" rejected 404 unknown_model -d '{"model":"absent","messages":[{"role":"user","content":"valve"}]}' "$url"
step "unknown service" rejected 404 unknown_service "http://$caller/services/absent/visits"
step "non-repeatable call without an idempotency key" rejected 400 missing_idempotency_key -d visit "http://$caller/services/scheduler/visits"
step "... did not run" no_runs
step "deadline in the past" rejected 408 deadline_passed -H 'X-Deadline: 1000' -d "$chat" "$url"
step "deadline that is not a number" rejected 400 bad_header -H 'X-Deadline: soon' -d "$chat" "$url"
step "unknown priority" rejected 400 bad_header -H 'X-Priority: highest' -d "$chat" "$url"
step "headers over the size limit" rejected 431 headers_too_large -H "X-Long: $(cat "$work/long-header")" -d "$chat" "$url"
step "body over the size limit" rejected 413 body_too_large --data-binary "@$work/long-body" "$url"
step "unknown path" rejected 404 path_not_found "http://$caller/absent"
step "wrong method" rejected 405 method_not_allowed -X DELETE "$url"
step "bytes that are not HTTP" grep -q '"code":"malformed_http"' <<<"$(send_raw 'NONSENSE\r\n\r\n' 5)"
step "request that is sent too slowly" slow_sender
step "connection closed during a request" close_during_request
step "connection closed during an answer ends the stream at the engine" close_during_answer
[ "$failures" = 0 ] || { tail -n 20 "$work/daemon.log"; exit 1; }
