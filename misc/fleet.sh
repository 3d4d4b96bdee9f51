# Shell functions that run a small fleet on the loopback interface. Sourced by the demo, the measurements and the process tests.
# The caller sets bin (directory of the programs) and dir (scratch directory).
# Port numbers in this file are offsets to CITRONSPAR_BASE_PORT.

base=${CITRONSPAR_BASE_PORT:-18000}
operator_key=operator-key-of-the-demo
secret=fleet-secret-of-the-demo
pids=()
declare -A pid_of

port() { echo $((base + $1)); }
addr() { echo "127.0.0.1:$(port "$1")"; }
sha256_hex() { printf %s "$1" | sha256sum | cut -d' ' -f1; }

# start_process NAME PROGRAM ARGS...: starts a background process that logs to NAME.log.
start_process() {
    local name=$1
    shift
    "$@" >>"$dir/$name.log" 2>&1 &
    pid_of[$name]=$!
    pids+=($!)
}

# stop_fleet: kills all processes that start_process has started, including paused ones.
stop_fleet() {
    for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    pids=()
}

# start_entry NAME NUMBER: starts an entry daemon. Ports: 10+NUMBER for HTTP, 20+NUMBER for peers.
start_entry() {
    cat >"$dir/$1.json" <<EOF
{"role": "entry", "daemon": "$1", "zone": "zone-$2", "httpListen": "$(addr $((10 + $2)))", "peerListen": "$(addr $((20 + $2)))",
 "table": "$(addr 1)", "fleetSecret": "$secret", "operatorKeySha256": "$(sha256_hex "$operator_key")", "pieceBytes": 256,
 "seeds": ["$(addr 21)", "$(addr 22)", "$(addr 23)"]}
EOF
    start_process "$1" "$bin/citronspard" --settings "$dir/$1.json"
}

# start_endpoint NAME NUMBER KIND ADDRESS: starts an endpoint daemon. KIND is engine or service. Peer port: 30+NUMBER.
start_endpoint() {
    cat >"$dir/$1.json" <<EOF
{"role": "endpoint", "daemon": "$1", "endpoint": "$1", "zone": "zone-$2", "peerListen": "$(addr $((30 + $2)))", "table": "$(addr 1)",
 "fleetSecret": "$secret", "pieceBytes": 256, "maxRunning": ${CITRONSPAR_MAX_RUNNING:-64}, "$3": "$4", "seeds": ["$(addr 21)", "$(addr 22)", "$(addr 23)"]}
EOF
    start_process "$1" "$bin/citronspard" --settings "$dir/$1.json"
}

# start_engine NAME NUMBER: starts a fake engine. Port: 40+NUMBER.
start_engine() { start_process "$1" "$bin/fakeengine" "$(addr $((40 + $2)))" weights-1 "${CITRONSPAR_TOKEN_MS:-2}"; }

# start_fleet: starts all processes and applies the configuration. Fails if that fails or if the fleet is not ready within 20 s.
start_fleet() {
    start_process platform "$bin/fakeplatform" "$(addr 1)"
    start_process service "$bin/fakeservice" "$(addr 2)"
    for n in 1 2 3; do start_engine "engine-$n" $n; done
    for n in 1 2 3; do start_entry "entry-$n" $n; done
    for n in 1 2 3; do start_endpoint "model-$n" $n engine "$(addr $((40 + n)))"; done
    for n in 4 5; do start_endpoint "orders-$n" $n service "$(addr 2)"; done
    printf %s "$operator_key" >"$dir/operator.key"
    cat >"$dir/fleet.json" <<EOF
{"defaults": {"deadlineMilliseconds": 15000, "maxOutputTokens": 2048},
 "daemons": {"entry-1": "$(addr 21)", "entry-2": "$(addr 22)", "entry-3": "$(addr 23)"},
 "roster": ["entry-1", "entry-2", "entry-3"],
 "accounts": {"mill-a": {"tokensPerSecond": 100000, "burstTokens": 1000000}, "mill-b": {"tokensPerSecond": 10, "burstTokens": 300}},
 "keys": {"key-a": {"account": "mill-a", "sha256": "$(sha256_hex sk-alpha)"}, "key-b": {"account": "mill-b", "sha256": "$(sha256_hex sk-beta)"},
          "key-old": {"account": "mill-a", "sha256": "$(sha256_hex sk-old)"}},
 "routes": {"/v1/chat/completions": {"kind": "model", "pool": "models"}, "/v1/completions": {"kind": "model", "pool": "models"},
            "/work-orders": {"kind": "once", "pool": "orders"}},
 "endpoints": {
   "model-1": {"address": "$(addr 31)", "pool": "models", "zone": "zone-1", "weights": "weights-1"},
   "model-2": {"address": "$(addr 32)", "pool": "models", "zone": "zone-2", "weights": "weights-1"},
   "model-3": {"address": "$(addr 33)", "pool": "models", "zone": "zone-3", "weights": "weights-1"},
   "orders-4": {"address": "$(addr 34)", "pool": "orders", "zone": "zone-1"},
   "orders-5": {"address": "$(addr 35)", "pool": "orders", "zone": "zone-2"}},
 "holders": {"s0": {"daemon": "entry-1", "epoch": 1}, "s1": {"daemon": "entry-2", "epoch": 1}}}
EOF
    wait_until 10 run_operator 1 status
    run_operator 1 config set "$dir/fleet.json" >/dev/null || return 1
    wait_until 20 fleet_ready
}

# run_operator ENTRY COMMAND...: runs the command-line client against one entry daemon.
run_operator() {
    local n=$1
    shift
    "$bin/citronspar" --daemon "$(addr $((10 + n)))" --key-file "$dir/operator.key" "$@" 2>>"$dir/operator.log"
}

# fleet_ready: succeeds if all entry daemons are ready and a chat request is answered.
fleet_ready() {
    local n
    for n in 1 2 3; do
        run_operator "$n" --json status 2>/dev/null | grep -q '"limitsReady": true' || return 1
        run_operator "$n" --json status 2>/dev/null | grep -q '"isFresh": true' || return 1
        run_operator "$n" --json status 2>/dev/null | grep -q '"endpoints": 5' || return 1
    done
    send_chat 1 sk-alpha 4 warm-up 2>/dev/null | grep -q DONE
}

# wait_until SECONDS COMMAND...: retries the command every 100 ms until it succeeds. Fails after about SECONDS.
wait_until() {
    local attempts=$(($1 * 10)) i
    shift
    for ((i = 0; i < attempts; i++)); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.1
    done
    return 1
}

# send_chat ENTRY KEY TOKENS TEXT: sends a streamed chat request and prints the response.
send_chat() {
    curl -sN --max-time 30 "http://$(addr $((10 + $1)))/v1/chat/completions" -H "authorization: Bearer $2" -H 'content-type: application/json' \
        -d "{\"model\": \"m\", \"stream\": true, \"max_tokens\": $3, \"messages\": [{\"role\": \"system\", \"content\": \"You read shift logs.\"}, {\"role\": \"user\", \"content\": \"$4\"}]}"
}

# send_order ENTRY IDEMPOTENCY-KEY BODY [KEY]: sends a work order and prints the response.
send_order() {
    curl -s --max-time 30 "http://$(addr $((10 + $1)))/work-orders" -H "authorization: Bearer ${4:-sk-alpha}" -H 'content-type: application/json' \
        -H "idempotency-key: $2" -d "$3"
}

# fake_server_stat NUMBER FIELD: prints a field of the statistics of the fake server at port NUMBER.
fake_server_stat() { curl -s --max-time 5 "http://$(addr "$1")/stats" | grep -o "\"$2\":[a-z0-9]*" | cut -d: -f2; }

# inject_fault NUMBER JSON: injects a fault into the fake server at port NUMBER.
inject_fault() { curl -s --max-time 5 "http://$(addr "$1")/fault" -d "$2" >/dev/null; }

# delta_text: prints the concatenated delta texts of the stream on standard input.
delta_text() { grep -o '"content":"[^"]*"' | cut -d'"' -f4 | tr -d '\n'; }

failures=0
# expect NAME COMMAND...: prints whether the command succeeds and counts failures.
expect() {
    local name=$1
    shift
    if "$@"; then echo "ok: $name"; else
        echo "FAILED: $name"
        failures=$((failures + 1))
    fi
}
