#!/usr/bin/env bash
# Fault injection tests with daemon processes on loopback: killed and paused processes,
# an unavailable table and lost replies. Each section checks one guarantee. Usage: faults.sh BIN-FOLDER
set -u
bin=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.."
dir=${CITRONSPAR_TEST_DIR:-$(mktemp -d)}
. misc/fleet.sh
trap 'stop_fleet; [ -n "${CITRONSPAR_TEST_DIR:-}" ] || rm -rf "$dir"' EXIT

start_fleet || { echo "failed to start the fleet; last log lines:"; tail -n 3 "$dir"/*.log; exit 1; }

kill_process() { kill -KILL "${pid_of[$1]}"; wait "${pid_of[$1]}" 2>/dev/null; }
pause_process() { kill -STOP "${pid_of[$1]}"; }
resume_process() { kill -CONT "${pid_of[$1]}"; }
is_rejected_as_not_run() { grep -q '"ran":"not run"' <<<"$1" && grep -q "\"type\":\"$2\"" <<<"$1"; }

echo "== At most once: an endpoint daemon is paused and resumes after another one ran its requests"
pause_process orders-4
(sleep 8; resume_process orders-4) &
responses=$(for n in 1 2 3; do for i in 1 2 3 4; do send_order "$n" "paused-$i" "{\"order\": \"paused $i\"}" & done; done; wait $(jobs -p | tail -n 12))
sleep 3
expect "no order ran twice" test "$(fake_server_stat 2 mostRunsOfOne)" = 1
expect "every order ran" test "$(fake_server_stat 2 total)" = 4
expect "duplicates got the stored response" test "$(grep -o '"order":[0-9]*' <<<"$responses" | sort -u | wc -l)" = 4

echo "== At most once: replies of the table are lost"
inject_fault 1 '{"mode": "lose"}'
(sleep 1.5; inject_fault 1 '{"mode": "none"}') &
fault_reset=$!
response=$(send_order 1 lost-1 '{"order": "lost"}')
wait "$fault_reset"
expect "the order ran once and got a response" grep -q '"runsOfThisBody":1' <<<"$response"

echo "== At most once: the table is unavailable"
inject_fault 1 '{"mode": "down"}'
before=$(fake_server_stat 2 total)
response=$(send_order 2 down-1 '{"order": "down"}')
expect "the order was rejected as not run" is_rejected_as_not_run "$response" table_unavailable
expect "the rejected order did not run" test "$(fake_server_stat 2 total)" = "$before"
expect "chat requests succeed while the table is unavailable" grep -q DONE <<<"$(send_chat 1 sk-alpha 4 'Table down.')"
inject_fault 1 '{"mode": "none"}'

echo "== At most once: a response exceeds the size limit"
inject_fault 2 '{"delayMilliseconds": 2000}'
concurrent_orders=()
for i in 1 2 3 4; do send_order 1 "" "{\"companion\": $i}" >"$dir/companion-$i" & concurrent_orders+=($!); done
sleep 0.3
inject_fault 2 '{"answerBytes": 20000000}'
response=$(send_order 1 large-1 '{"order": "large"}')
wait "${concurrent_orders[@]}"
expect "concurrent orders on the same connection get their responses" test "$(cat "$dir"/companion-* | grep -o runsOfThisBody | wc -l)" = 4
expect "the outcome is reported as unknown" grep -q outcome_unknown <<<"${response:0:1000}"
inject_fault 2 '{"answerBytes": 0}'
expect "the next order gets a response" grep -q runsOfThisBody <<<"$(send_order 1 large-2 '{"order": "after the large one"}')"

echo "== At most once: an entry daemon is killed"
inject_fault 2 '{"delayMilliseconds": 1000}'
(send_order 3 killed-1 '{"order": "killed"}' >/dev/null) &
sleep 0.4
kill_process entry-3
response=$(send_order 1 killed-1 '{"order": "killed"}')
inject_fault 2 '{"delayMilliseconds": 0}'
expect "the duplicate got the response of the only run" grep -q '"runsOfThisBody":1' <<<"$response"
start_entry entry-3 3
wait_until 20 fleet_ready

echo "== Keys: revocation while an entry daemon is isolated"
run_operator 1 key withdraw key-old >/dev/null
expect "every entry daemon rejects the revoked key" test "$(for n in 1 2 3; do is_rejected_as_not_run "$(send_chat $n sk-old 2 x)" key_rejected && echo ok; done | wc -l)" = 3
pause_process entry-2
pause_process entry-3
sleep 2.5
inject_fault 1 '{"mode": "down"}'
sleep 3
expect "a daemon without contact to the table and to a majority rejects requests" is_rejected_as_not_run "$(send_chat 1 sk-alpha 2 x)" not_fresh
inject_fault 1 '{"mode": "none"}'
resume_process entry-2
resume_process entry-3
expect "the fleet serves requests after the isolation ends" wait_until 20 fleet_ready

echo "== Limits: the rate and burst of an account hold across all entry daemons"
# Each request reserves at least 100 tokens from a token bucket with a burst of 300 and a rate of 10 per second.
admitted=$(for i in 1 2 3 4 5 6; do for n in 1 2 3; do send_chat $n sk-beta 100 "limit $i" & done; done | grep -c DONE)
expect "1 to 4 of 18 requests were admitted ($admitted)" test "$admitted" -le 4 -a "$admitted" -ge 1

echo "== Streams: an engine is killed during a response"
# Uses different requests for each engine, since a request that was running during two engine crashes is blocked.
for engine in 1 2; do
    for n in 1 2 3; do send_chat 1 sk-alpha 600 "Stream $engine-$n to the end." | delta_text >"$dir/whole-$n"; done
    streams=()
    for n in 1 2 3; do send_chat $n sk-alpha 600 "Stream $engine-$n to the end." >"$dir/stream-$n" & streams+=($!); done
    sleep 0.5
    kill_process engine-$engine
    wait "${streams[@]}"
    for n in 1 2 3; do
        expect "engine $engine killed: stream $n is complete, in order and terminated once" \
            test "$(delta_text <"$dir/stream-$n")" = "$(cat "$dir/whole-$n")" -a "$(grep -c DONE "$dir/stream-$n")" = 1
    done
    start_engine engine-$engine $engine
    sleep 1
done

echo "== Operators: concurrent changes and lost replies"
version=$(run_operator 1 --json status | grep -o '"version": [0-9]*' | grep -o '[0-9]*')
for n in 1 2; do
    (run_operator $n --expect-version "$version" exception add race mill-a "{\"maxAttempts\": $n}" --reason race >/dev/null; echo $? >"$dir/race-$n") &
    changes+=($!)
done
wait "${changes[@]}"
expect "one of two concurrent changes is committed, the other is rejected" test "$(cat "$dir/race-1" "$dir/race-2" | sort | tr -d '\n')" = 03
inject_fault 1 '{"mode": "lose"}'
(sleep 1; inject_fault 1 '{"mode": "none"}') &
fault_reset=$!
run_operator 2 exception remove race >/dev/null
expect "a change whose table reply was lost succeeds" test $? = 0
wait "$fault_reset"
expect "the change was applied once" test "$(run_operator 2 --json status | grep -o '"version": [0-9]*' | grep -o '[0-9]*')" = $((version + 2))

echo "== Shutdown: planned stops abort no request"
streams=()
for n in 1 2 3; do for i in 1 2 3; do send_chat $n sk-alpha 700 "Leaving $i." >"$dir/leave-$n-$i" & streams+=($!); done; done
sleep 0.5
kill -TERM "${pid_of[model-1]}" "${pid_of[entry-3]}"
sleep 0.5
expect "the health check of the stopping daemon fails" test "$(curl -s -o /dev/null -w '%{http_code}' "http://$(addr 13)/healthz")" = 503
expect "the stopping daemon serves requests that a load balancer still sends" grep -q DONE <<<"$(send_chat 3 sk-alpha 4 'Late one.')"
wait "${streams[@]}"
expect "9 of 9 streams are complete" test "$(cat "$dir"/leave-* | grep -c DONE)" = 9
for name in entry-3 model-1; do
    wait_until 10 sh -c "! kill -0 ${pid_of[$name]} 2>/dev/null"
    wait "${pid_of[$name]}"
    expect "$name exited with status 0" test $? = 0
done
expect "the other daemons serve requests" grep -q DONE <<<"$(send_chat 1 sk-alpha 4 'After leaving.')"

echo "== SIGHUP: daemons reload their settings and keep running"
kill -HUP "${pid_of[entry-1]}" "${pid_of[model-2]}"
sleep 1.5
expect "the entry daemon is running" kill -0 "${pid_of[entry-1]}"
expect "the endpoint daemon is running" kill -0 "${pid_of[model-2]}"
expect "requests succeed after the reload" grep -q DONE <<<"$(send_chat 1 sk-alpha 4 'After the signal.')"

echo "== Crash-inducing requests: one request crashes at most two engines"
start_endpoint model-1 1 engine "$(addr 41)"
start_entry entry-3 3
wait_until 20 fleet_ready
for n in 1 2 3; do
    curl -s --max-time 20 "http://$(addr $((10 + n)))/v1/chat/completions" -H 'authorization: Bearer sk-alpha' \
        -d '{"model": "m", "poison": true, "max_tokens": 2, "messages": [{"role": "user", "content": "boom"}]}' >"$dir/poison-$n"
done
running=0
for n in 1 2 3; do kill -0 "${pid_of[engine-$n]}" 2>/dev/null && running=$((running + 1)); done
expect "at least 1 of 3 engines is running ($running)" test "$running" -ge 1
expect "the crash-inducing request is blocked" grep -q request_blocked "$dir/poison-3"

echo "$((failures)) failed"
[ "$failures" = 0 ] || grep -hE "WARN|ERROR" "$dir"/*.log | tail -n 20
exit $((failures > 0))
