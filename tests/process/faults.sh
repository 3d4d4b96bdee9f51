#!/usr/bin/env bash
# One test with real processes on loopback for each of the first invariants:
# kills, pauses and cuts. Usage: faults.sh BIN-FOLDER
set -u
bin=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.."
dir=${CITRONSPAR_TEST_DIR:-$(mktemp -d)}
. misc/fleet.sh
trap 'stop_fleet; [ -n "${CITRONSPAR_TEST_DIR:-}" ] || rm -rf "$dir"' EXIT

start_fleet || { echo "the fleet did not start"; tail -n 3 "$dir"/*.log; exit 1; }

kill_process() { kill -KILL "${pid_of[$1]}"; wait "${pid_of[$1]}" 2>/dev/null; }
pause_process() { kill -STOP "${pid_of[$1]}"; }
wake_process() { kill -CONT "${pid_of[$1]}"; }
is_refused() { grep -q '"ran":"not run"' <<<"$1" && grep -q "\"type\":\"$2\"" <<<"$1"; }

echo "== At most once: a paused endpoint daemon, woken after its work was done elsewhere"
pause_process orders-4
(sleep 8; wake_process orders-4) &
answers=$(for n in 1 2 3; do for i in 1 2 3 4; do order "$n" "paused-$i" "{\"order\": \"paused $i\"}" & done; done; wait $(jobs -p | tail -n 12))
sleep 3
expect "no order ran twice" test "$(stat 2 mostRunsOfOne)" = 1
expect "each order ran" test "$(stat 2 total)" = 4
expect "repeats got the stored answer" test "$(grep -o '"order":[0-9]*' <<<"$answers" | sort -u | wc -l)" = 4

echo "== At most once: lost table replies"
fault 1 '{"mode": "lose"}'
(sleep 1.5; fault 1 '{"mode": "none"}') &
healer=$!
answer=$(order 1 lost-1 '{"order": "lost"}')
wait "$healer"
expect "the order ran once and was answered" grep -q '"runsOfThisBody":1' <<<"$answer"

echo "== At most once: the table is down"
fault 1 '{"mode": "down"}'
before=$(stat 2 total)
answer=$(order 2 down-1 '{"order": "down"}')
expect "the order was refused as not run" is_refused "$answer" table_unavailable
expect "and did not run" test "$(stat 2 total)" = "$before"
expect "chat goes on meanwhile" grep -q DONE <<<"$(chat 1 sk-alpha 4 'Table down.')"
fault 1 '{"mode": "none"}'

echo "== At most once: an answer too large to pass on"
fault 2 '{"delayMilliseconds": 2000}'
companions=()
for i in 1 2 3 4; do order 1 "" "{\"companion\": $i}" >"$dir/companion-$i" & companions+=($!); done
sleep 0.3
fault 2 '{"answerBytes": 20000000}'
answer=$(order 1 large-1 '{"order": "large"}')
wait "${companions[@]}"
expect "orders that were open on the same link are answered" test "$(cat "$dir"/companion-* | grep -o runsOfThisBody | wc -l)" = 4
expect "the outcome is called unknown" grep -q outcome_unknown <<<"${answer:0:1000}"
fault 2 '{"answerBytes": 0}'
expect "the next order is answered" grep -q runsOfThisBody <<<"$(order 1 large-2 '{"order": "after the large one"}')"

echo "== At most once: a killed entry daemon"
fault 2 '{"delayMilliseconds": 1000}'
(order 3 killed-1 '{"order": "killed"}' >/dev/null) &
sleep 0.4
kill_process entry-3
answer=$(order 1 killed-1 '{"order": "killed"}')
fault 2 '{"delayMilliseconds": 0}'
expect "the repeat got the answer of the only run" grep -q '"runsOfThisBody":1' <<<"$answer"
entry entry-3 3
wait_until 20 fleet_ready

echo "== Keys: withdrawn while one daemon can't hear of it"
operator 1 key withdraw key-old >/dev/null
expect "every entry daemon refuses the key" test "$(for n in 1 2 3; do is_refused "$(chat $n sk-old 2 x)" key_rejected && echo ok; done | wc -l)" = 3
pause_process entry-2
pause_process entry-3
sleep 2.5
fault 1 '{"mode": "down"}'
sleep 3
expect "a daemon that hears neither table nor majority refuses" is_refused "$(chat 1 sk-alpha 2 x)" not_fresh
fault 1 '{"mode": "none"}'
wake_process entry-2
wake_process entry-3
expect "and serves again" wait_until 20 fleet_ready

echo "== Limits: no account gets more than rate and burst from all daemons together"
# Each request reserves at least 100 tokens of a burst of 300 at 10 a second.
granted=$(for i in 1 2 3 4 5 6; do for n in 1 2 3; do chat $n sk-beta 100 "limit $i" & done; done | grep -c DONE)
expect "at most four of eighteen were granted ($granted)" test "$granted" -le 4 -a "$granted" -ge 1

echo "== Streams: an engine is killed in the middle of an answer"
# Each engine gets requests of its own, as one that ran at two crashes is blocked.
for engine in 1 2; do
    for n in 1 2 3; do chat 1 sk-alpha 600 "Stream $engine-$n to the end." | content >"$dir/whole-$n"; done
    streams=()
    for n in 1 2 3; do chat $n sk-alpha 600 "Stream $engine-$n to the end." >"$dir/stream-$n" & streams+=($!); done
    sleep 0.5
    kill_process engine-$engine
    wait "${streams[@]}"
    for n in 1 2 3; do
        expect "engine $engine killed: stream $n is whole, in order and ended" \
            test "$(content <"$dir/stream-$n")" = "$(cat "$dir/whole-$n")" -a "$(grep -c DONE "$dir/stream-$n")" = 1
    done
    engine engine-$engine $engine
    sleep 1
done

echo "== Operators: racing changes and lost replies"
version=$(operator 1 --json status | grep -o '"version": [0-9]*' | grep -o '[0-9]*')
for n in 1 2; do
    (operator $n --expect-version "$version" exception add race mill-a "{\"maxAttempts\": $n}" --reason race >/dev/null; echo $? >"$dir/race-$n") &
    racers+=($!)
done
wait "${racers[@]}"
expect "one of two racing changes wins, the other is refused" test "$(cat "$dir/race-1" "$dir/race-2" | sort | tr -d '\n')" = 03
fault 1 '{"mode": "lose"}'
(sleep 1; fault 1 '{"mode": "none"}') &
healer=$!
operator 2 exception remove race >/dev/null
expect "a change whose reply was lost is accepted" test $? = 0
wait "$healer"
expect "and was made once" test "$(operator 2 --json status | grep -o '"version": [0-9]*' | grep -o '[0-9]*')" = $((version + 2))

echo "== Leaving: planned stops cut no request"
streams=()
for n in 1 2 3; do for i in 1 2 3; do chat $n sk-alpha 700 "Leaving $i." >"$dir/leave-$n-$i" & streams+=($!); done; done
sleep 0.5
kill -TERM "${pid_of[model-1]}" "${pid_of[entry-3]}"
sleep 0.5
expect "the health check fails" test "$(curl -s -o /dev/null -w '%{http_code}' "http://$(addr 13)/healthz")" = 503
expect "a request that the balancer still sends is served" grep -q DONE <<<"$(chat 3 sk-alpha 4 'Late one.')"
wait "${streams[@]}"
expect "nine of nine streams are whole" test "$(cat "$dir"/leave-* | grep -c DONE)" = 9
for name in entry-3 model-1; do
    wait_until 10 sh -c "! kill -0 ${pid_of[$name]} 2>/dev/null"
    wait "${pid_of[$name]}"
    expect "$name has left with exit status 0" test $? = 0
done
expect "requests go to the others" grep -q DONE <<<"$(chat 1 sk-alpha 4 'After leaving.')"

echo "== SIGHUP: the settings are read anew and the daemon goes on"
kill -HUP "${pid_of[entry-1]}" "${pid_of[model-2]}"
sleep 1.5
expect "the entry daemon is alive" kill -0 "${pid_of[entry-1]}"
expect "the endpoint daemon is alive" kill -0 "${pid_of[model-2]}"
expect "requests are served" grep -q DONE <<<"$(chat 1 sk-alpha 4 'After the signal.')"

echo "== Poison: one request takes at most two engines"
endpoint model-1 1 engine "$(addr 41)"
entry entry-3 3
wait_until 20 fleet_ready
for n in 1 2 3; do
    curl -s --max-time 20 "http://$(addr $((10 + n)))/v1/chat/completions" -H 'authorization: Bearer sk-alpha' \
        -d '{"model": "m", "poison": true, "max_tokens": 2, "messages": [{"role": "user", "content": "boom"}]}' >"$dir/poison-$n"
done
alive=0
for n in 1 2 3; do kill -0 "${pid_of[engine-$n]}" 2>/dev/null && alive=$((alive + 1)); done
expect "at least one engine of three is alive ($alive)" test "$alive" -ge 1
expect "the request is blocked" grep -q request_blocked "$dir/poison-3"

echo "$((failures)) failed"
[ "$failures" = 0 ] || grep -hE "WARN|ERROR" "$dir"/*.log | tail -n 20
exit $((failures > 0))
