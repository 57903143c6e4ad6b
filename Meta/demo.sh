#!/usr/bin/env bash
# Installs, builds, starts three daemons and the stand-ins, sends one request of each kind, prints what each gave,
# and stops everything again. Exits with 1 when anything was lost, cut or doubled; then one line says what failed and where
# the logs are.
# Usage: Meta/demo.sh [--keep]     --keep leaves everything running and prints the addresses.
set -euo pipefail
cd "$(dirname "$0")/.."

keep=no
[ "${1:-}" = --keep ] && keep=yes
readonly build=Build/plain
readonly bin=$build/bin
readonly samples=Meta/samples
readonly store=127.0.0.1:8520
readonly entry=127.0.0.1:8101 other_entry=127.0.0.1:8102 records=127.0.0.1:8601
run=$(mktemp -d)
pids=()
problems=0
cause=

stop_all() {
    local status=$?
    trap - EXIT
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    if [ "$status" = 0 ]; then
        rm -rf "$run"
    else
        echo "== the demo failed: ${cause:-see the message above}; logs are in $run" >&2
    fi
    exit "$status"
}

die() { # cause
    cause="$1"
    exit 1
}

fail() {
    echo "PROBLEM: $1"
    problems=$((problems + 1))
}

start() { # name, command...
    local name="$1"
    shift
    "$@" >"$run/$name.out" 2>"$run/$name.log" &
    pids+=($!)
}

wait_for() { # what, command...: polls until the command succeeds
    local what="$1"
    shift
    for _ in $(seq 300); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.1
    done
    die "gave up waiting for $what"
}

ctl() { "$bin/currantctl" "$@" --server 127.0.0.1:8201,127.0.0.1:8202,127.0.0.1:8203 --token-file "$run/token"; }

field() { # file of response headers, name
    tr -d '\r' <"$1" | awk -F': ' -v name="$2" 'tolower($1) == tolower(name) { print $2 }' | tail -n 1
}

target_of() { # request id
    grep -h "name=route-decided request=$1 " "$run"/entry-*.out | tail -n 1 | sed 's/.* target=\([^ ]*\).*/\1/'
}

ask() { # name, entry, prompt, tokens: one streamed completion
    local name="$1" at="$2" prompt="$3" tokens="$4" times
    printf '{"model":"pension-reasoning","prompt":"%s","max_tokens":%s,"stream":true}' "$prompt" "$tokens" >"$run/$name.json"
    times=$(curl -sS -N -D "$run/$name.head" -o "$run/$name.body" -w '%{http_code} %{time_starttransfer} %{time_total}' \
        -H 'Content-Type: application/json' -H 'Currantvale-Organisation: workshop-12' --data @"$run/$name.json" "http://$at/v1/completions") || fail "$name: no answer"
    echo "$name $tokens $times" >"$run/$name.times"
}

report() { # name
    local name tokens status first total events id
    read -r name tokens status first total <"$run/$1.times"
    id=$(field "$run/$name.head" X-Request-Id)
    events=$(grep -c '^data: {' "$run/$name.body" || true)
    grep -q '^data: \[DONE\]' "$run/$name.body" || fail "$name: the answer has no end"
    [ "$status" = 200 ] || fail "$name: status $status"
    [ "$events" -ge "$tokens" ] || fail "$name: $events of $tokens tokens"
    [ "$(grep '^id: ' "$run/$name.body" | sort | uniq -d | wc -l)" = 0 ] || fail "$name: an event came twice"
    awk -v n="$name" -v s="$status" -v v="$(field "$run/$name.head" Currantvale-Verdict)" -v t="$(target_of "$id")" -v e="$events" -v f="$first" -v a="$total" \
        'BEGIN { printf "  %-12s status %s  verdict %-12s target %-12s first token %6.0f ms  %4d events  %5.0f tokens/s\n", n, s, v, t, f * 1000, e, e / (a > f ? a - f : 0.001) }'
}

build_all() {
    Meta/packages.sh
    mkdir -p Build
    export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
    cmake -S . -B "$build" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >"$run/configure.log" 2>&1 || die "cmake does not configure (configure.log)"
    cmake --build "$build" --target currantvaled currantctl currantvale-standin >"$run/build.log" 2>&1 || die "the build fails (build.log)"
}

start_all() {
    echo demo-token-not-for-production >"$run/token"
    start log "$bin/currantvale-standin" log --listen 127.0.0.1:8401
    start vms "$bin/currantvale-standin" vms --listen 127.0.0.1:8402 --file "$samples/vms.json"
    for n in 1 2 3; do
        start "engine-$n" "$bin/currantvale-standin" engine --listen "127.0.0.1:850$n" --name "reasoning-$n" --model pension-reasoning --checks-fencing yes --change-seconds 1
    done
    start records "$bin/currantvale-standin" service --listen "$records" --name enrolment-records
    for n in 1 2 3; do start "entry-$n" "$bin/currantvaled" --settings "$samples/entry-$n.ini"; done
    for n in 1 2 3; do wait_for "entry-$n" curl -sf "http://127.0.0.1:820$n/readyz"; done
    ctl apply "$samples/operators.ini" --wait
    for n in 1 2 3; do
        wait_for "entry-$n to serve the model" grep -q 'pension-reasoning' <(curl -sf "http://127.0.0.1:810$n/v1/models")
    done
}

# One record of a keyed topic: its length in four bytes, big-endian, and in it the key's length, the key and the value.
keyed_record() { # key, value
    local size=$((1 + ${#1} + ${#2})) n
    for n in $((size >> 24 & 255)) $((size >> 16 & 255)) $((size >> 8 & 255)) $((size & 255)) ${#1}; do printf "\\$(printf %03o "$n")"; done
    printf %s "$1$2"
}

# Daemons on the users' platform have an address each and the same ports, as VMs have.
front_ip() { echo "127.0.0.1$1"; } # number

# The settings of a daemon on the users' platform, filled in from deploy/entry.ini as the platform does it.
platform_settings() { # number
    local ip
    ip=$(front_ip "$1")
    Meta/fill-template.sh deploy/entry.ini node="front-$1" zone=tanta-hall region=delta-north ip="$ip" port_range.0=8531 port_range.1=8541 \
        listen.front="$ip:8551" listen.directory="$ip:8561" listen.ready="$ip:8571" provider.addr="$store" bounds.grace_s=8 bounds.lease_ms=3000 bounds.config_apply_ms=2000 bounds.drain_ms=2000 \
        bounds.retry_budget_ratio=0.2 bounds.budget_extra=50 bounds.budget_window_s=10
}

start_platform() {
    local n role
    start store "$bin/currantvale-standin" keyed-store --listen "$store"
    n=0
    for role in prefill decode decode; do
        n=$((n + 1))
        start "runner-$n" "$bin/currantvale-standin" runner --listen "127.0.0.1:858$n" --service llm --role "$role" --zone tanta-hall --store "$store"
    done
    start app "$bin/currantvale-standin" runner --listen 127.0.0.1:8589 --service app --zone tanta-hall --store "$store"
    wait_for "the store" curl -s "http://$store/"
    keyed_record config '{"version":1,"routes":[{"name":"histories","host":"demo.example","path_prefix":"/h/","kind":"stream","timeout_ms":6000,"goal_ms":600,"priority":2,"service":"llm","max_attempts":1,"resumable":false,"gap_target_ms":150},{"name":"confirm","host":"demo.example","path_prefix":"/c/","kind":"unsafe","timeout_ms":1000,"goal_ms":150,"priority":2,"service":"app","max_attempts":1}],"services":[{"name":"llm","engine":{"slots":8,"kv_cap_tokens":100000,"stage_switch_s":0.5,"kv_hold_s":5}},{"name":"app"}]}' \
        | curl -sf --data-binary @- "http://$store/currantvale/log-append?topic=keyed.op&part=0" >/dev/null
    for n in 1 2; do
        platform_settings "$n" >"$run/front-$n.ini" 2>"$run/front-$n.log" || die "$(<"$run/front-$n.log")"
        start "front-$n" "$bin/currantvaled" --settings "$run/front-$n.ini"
        wait_for "front-$n" curl -sf "http://$(front_ip "$n"):8571/"
    done
}

ask_platform() { # name, path, expected status, request id
    local status
    status=$(curl -sS -N -o "$run/$1.body" -w '%{http_code} first byte %{time_starttransfer} s' -H 'Host: demo.example' -H "X-Request-Id: $4" -H 'X-Deadline-Ms: 5000' \
        -H 'X-Token-Usage: 1460,80' -H 'X-Prompt-Prefix: 5c1e:1210,e440:250' --data question "http://$(front_ip 1):8551$2") || fail "$1: no answer"
    echo "  $1: status $status, $(wc -c <"$run/$1.body") bytes"
    [ "${status%% *}" = "$3" ] || fail "$1: status $status"
}

trap 'stop_all' EXIT
echo "== build"
build_all
echo "== start"
start_all

echo "== a long prompt"
ask long "$entry" "$(printf 'contribution of month %s. ' $(seq 2000))" 40
report long

echo "== a burst of short questions"
burst=()
for n in $(seq 12); do
    ask "short-$n" "127.0.0.1:810$((n % 3 + 1))" "Is worker $n eligible?" 8 &
    burst+=($!)
done
for pid in "${burst[@]}"; do wait "$pid" || fail "a question was lost"; done
for n in $(seq 12); do report "short-$n"; done

echo "== an enrolment that may not be repeated, sent twice by its caller with one ticket, through two daemons"
ticket=$(curl -sf "http://$entry/v1/entries" | sed 's/.*"ticket":"\([^"]*\)".*/\1/')
for at in $entry $other_entry; do
    status=$(curl -sS -D "$run/enrol.head" -o "$run/enrol.body" -w '%{http_code}' -H "Currantvale-Ticket: $ticket" -H 'Idempotency-Key: worker-4711' \
        -H 'Content-Type: application/json' --data '{"worker":4711}' "http://$at/services/records/enrol")
    echo "  through $at: status $status  verdict $(field "$run/enrol.head" Currantvale-Verdict)"
    [ "$status" = 200 ] || fail "the enrolment through $at: status $status"
done
runs=$(curl -sf "http://$records/admin/runs")
echo "  runs at the service: $runs"
grep -q '"worker-4711":1[,}]' <<<"$runs" || fail "the enrolment did not run exactly once"

echo "== a label change: reasoning-1 is drained"
ctl drain reasoning-1 --wait
for n in 1 2 3 4 5 6; do
    ask "drained-$n" "$entry" "Question $n" 4
    report "drained-$n"
    [ "$(target_of "$(field "$run/drained-$n.head" X-Request-Id)")" != reasoning-1 ] || fail "a drained target got work"
done
ctl undrain reasoning-1 --wait

echo "== the users' platform: a keyed store, engines apart for prompts and outputs, two daemons that callers ask for"
start_platform
echo "  daemons to use: $(curl -sf "http://$(front_ip 1):8561/?name=demo.example")"
wait_for "the first stream" curl -sf -o /dev/null -H 'Host: demo.example' -H 'X-Request-Id: demo-0' --data question "http://$(front_ip 1):8551/h/1"
ask_platform platform-stream /h/1 200 demo-1
[ "$(grep -c '^id: ' "$run/platform-stream.body")" = 10 ] || fail "the platform's stream is not whole"
ask_platform platform-call /c/1 200 demo-2
ask_platform platform-no-route /none/ 404 demo-3
curl -sf http://127.0.0.1:8589/admin/runs | grep -q '"demo-2":1' || fail "the call did not run exactly once"

if [ "$keep" = yes ]; then
    trap - EXIT
    echo "== left running; logs and the token are in $run; stop with: kill ${pids[*]}"
    echo "  callers: 127.0.0.1:8101-8103   operators: 127.0.0.1:8201-8203   engines: 127.0.0.1:8501-8503   records: $records"
else
    echo "== stop"
    for n in 6 7 8; do
        kill -TERM "${pids[$n]}"
    done
    for n in 6 7 8; do
        wait "${pids[$n]}" || fail "entry-$((n - 5)) did not end with 0"
    done
fi
[ "$problems" = 0 ] || die "$problems problems, printed above"
echo "== nothing was lost, cut or doubled"
