#!/usr/bin/env bash
# Starts a whole system as separate processes on the loopback interface and sends it requests.
#
#   ./scripts/demo.sh          runs all steps and stops the processes; exits 0 if all checks passed
#   ./scripts/demo.sh --keep   keeps the processes running until interrupted and prints commands to try
set -euo pipefail
cd "$(dirname "$0")/.."

KEEP_RUNNING=no
[[ "${1:-}" == "--keep" ]] && KEEP_RUNNING=yes

readonly BIN=target/debug
readonly LAYERS=12
readonly TOKENS=24
readonly PROMPT="11,7,31999,0,5"
readonly CUSTOMER=peachtree-demo
readonly MAX_POLLS=300
readonly POLL_DELAY_S=0.1
export MUSTARD_OPERATOR_KEY=operator-key

DIR=$(mktemp -d)
PIDS=()
FAILED=0

print_heading() { printf '\n== %s\n' "$*"; }

check() { # NAME EXPECTED ACTUAL
  if [[ "$2" == "$3" ]]; then
    echo "ok: $1"
  else
    echo "FAILED: $1"
    echo "  expected: $2"
    echo "  actual:   $3"
    FAILED=1
  fi
}

cleanup() {
  {
    for pid in "${PIDS[@]}"; do
      kill -KILL "$pid" || true
    done
    wait || true
  } 2>/dev/null
  rm -rf "$DIR"
}
trap cleanup EXIT

# Starts a program in the background and waits until it listens. Sets ADDR and PID.
start() { # NAME PROGRAM ARGUMENTS...
  local name=$1 program=$2
  shift 2
  # Creates the file, because sed below may read it before the program starts.
  : >"$DIR/$name.out"
  # In its own session the process does not receive an interrupt from the terminal.
  setsid "$BIN/$program" "$@" >"$DIR/$name.out" 2>"$DIR/$name.log" &
  PID=$!
  PIDS+=("$PID")
  for ((i = 0; i < MAX_POLLS; i++)); do
    ADDR=$(sed -n 's/^listening //p' "$DIR/$name.out")
    [[ -n "$ADDR" ]] && return
    if ! kill -0 "$PID" 2>/dev/null; then
      break
    fi
    sleep "$POLL_DELAY_S"
  done
  echo "$name did not start:"
  tail -n 20 "$DIR/$name.log"
  exit 1
}

# Adds a VM to the list that the platform publishes.
register_vm() { # NAME KIND ADDR DOMAIN
  curl -sSf -X PUT "http://$PLATFORM/vms" -d \
    "{\"name\":\"$1\",\"kind\":\"$2\",\"addr\":\"$3\",\"domain\":\"$4\",\"state\":\"live\"}"
}

# Repeats a command until it succeeds.
wait_until() { # NAME COMMAND...
  local name=$1
  shift
  for ((i = 0; i < MAX_POLLS; i++)); do
    "$@" >/dev/null 2>&1 && return
    sleep "$POLL_DELAY_S"
  done
  echo "FAILED: timeout while waiting for $name"
  FAILED=1
}

print_heading "Building the programs"
cargo build --workspace --bins --locked

print_heading "Starting the fake services, agents and entry processes"
start platform fake-platform
PLATFORM=$ADDR
AGENTS=()
for stage in 0 1 2; do
  layers="$((stage * 4))..$((stage * 4 + 4))"
  start "engine-$stage" fake-engine --model caption --layers "$layers" --total-layers $LAYERS
  cat >"$DIR/stage-$stage.toml" <<TOML
vm = "stage-$stage"
domain = "ga-north-a"
listen = "127.0.0.1:0"
kind = "engine"
server = "$ADDR"
table = "$PLATFORM"
TOML
  start "stage-$stage" mustard-agent --config "$DIR/stage-$stage.toml"
  AGENTS+=("$PID")
  register_vm "stage-$stage" agent "$ADDR" ga-north-a
  echo "stage-$stage runs layers $layers, agent at $ADDR"
done
start service fake-service
SERVICE=$ADDR
cat >"$DIR/booking-0.toml" <<TOML
vm = "booking-0"
domain = "ga-north-b"
listen = "127.0.0.1:0"
kind = "service"
service = "placements"
server = "$SERVICE"
table = "$PLATFORM"
TOML
start booking-0 mustard-agent --config "$DIR/booking-0.toml"
AGENTS+=("$PID")
register_vm booking-0 agent "$ADDR" ga-north-b
echo "booking-0 runs next to the service at $SERVICE, agent at $ADDR"

ENTRIES=()
ENTRY_PIDS=()
for entry in 0 1; do
  cat >"$DIR/entry-$entry.toml" <<TOML
name = "entry-$entry"
listen = "127.0.0.1:0"
domain = "ga-north-a"
operators = ["anna:$(printf %s "$MUSTARD_OPERATOR_KEY" | "$BIN/mustardctl" key-hash | tr -d '[:space:]')"]
[platform]
table = "$PLATFORM"
objects = "$PLATFORM"
vms = "$PLATFORM"
[drain]
notice_ms = 200
TOML
  start "entry-$entry" mustard-entry --config "$DIR/entry-$entry.toml"
  ENTRIES+=("$ADDR")
  ENTRY_PIDS+=("$PID")
  register_vm "entry-$entry" entry "$ADDR" ga-north-a
  echo "entry-$entry at $ADDR"
done
export MUSTARD_ENTRY=${ENTRIES[0]}

# Sends a request for the completion of the prompt.
request_completion() { # ENTRY STREAM [CURL ARGUMENTS...]
  local entry=$1 stream=$2
  shift 2
  curl -sS "$@" "http://$entry/v1/completions" -H "Authorization: Bearer $CUSTOMER" \
    -H 'Content-Type: application/json' -d \
    "{\"model\":\"caption\",\"prompt\":[$PROMPT],\"max_tokens\":$TOKENS,\"stream\":$stream}"
}

# Books a page under an idempotency key; the last line of the output is the HTTP status.
send_booking() { # ENTRY KEY PAGE
  curl -sS -w '\n%{http_code}' "http://$1/v1/services/placements/pages/4" \
    -H "Authorization: Bearer $CUSTOMER" -H "Idempotency-Key: $2" \
    -H 'Content-Type: application/json' -d "{\"strip\":\"Moon\",\"page\":$3}"
}

# Reads the bookings of the page.
get_page_status() { # ENTRY
  curl -sSf "http://$1/v1/services/placements/pages/4" -H "Authorization: Bearer $CUSTOMER"
}

print_heading "Applying the catalogue file"
"$BIN/mustardctl" apply -f examples/catalogue.toml --yes
for entry in "${ENTRIES[@]}"; do
  wait_until "a completion through $entry" request_completion "$entry" false -f
  wait_until "a status request through $entry" get_page_status "$entry"
done
"$BIN/mustardctl" status

print_heading "A streamed completion"
request_completion "${ENTRIES[0]}" true >"$DIR/stream"
head -n 3 "$DIR/stream"
echo "..."
tail -n 3 "$DIR/stream"
text=$(sed -n 's/^data: {.*"text":"\([^"]*\)".*/\1/p' "$DIR/stream" | tr -d '\n')
expected=$("$BIN/fake-reference" --layers $LAYERS --prompt "$PROMPT" --tokens $TOKENS)
check "the streamed completion equals the reference" "$expected" "$text"
check "the stream ends with [DONE]" "data: [DONE]" "$(grep -v '^$' "$DIR/stream" | tail -n 1)"
check "the stream reports the number of generated tokens" 1 \
  "$(grep -c "\"completion_tokens\":$TOKENS" "$DIR/stream" || true)"

print_heading "A booking sent twice with the same idempotency key, through both entry processes"
first=$(send_booking "${ENTRIES[0]}" strip-moon-4 4)
second=$(send_booking "${ENTRIES[1]}" strip-moon-4 4)
echo "$first"
check "the first answer has status 201" 201 "${first##*$'\n'}"
check "the second answer equals the first" "$first" "$second"
check "the service has one booking" 1 "$(curl -sS "http://$SERVICE/ledger" | grep -o '"number"' | wc -l)"

print_heading "A status request"
status=$(get_page_status "${ENTRIES[1]}")
check "the page has one booking" '{"path":"/pages/4","booked":1}' "$status"

print_heading "A refused request: the same idempotency key with another body"
refused=$(send_booking "${ENTRIES[1]}" strip-moon-4 5)
echo "$refused"
check "the request with another body is not run" 1 "$(grep -c '"outcome":"not_run"' <<<"$refused" || true)"
check "the service still has one booking" 1 \
  "$(curl -sS "http://$SERVICE/ledger" | grep -o '"number"' | wc -l)"

print_heading "The last lines of the merged timeline"
"$BIN/mustardctl" timeline >"$DIR/timeline"
tail -n 15 "$DIR/timeline"
for process in entry-0 entry-1 stage-0 stage-1 stage-2 booking-0; do
  check "the timeline has events of $process" yes \
    "$(grep -q "$process" "$DIR/timeline" && echo yes || echo no)"
done

if [[ $KEEP_RUNNING == yes ]]; then
  print_heading "The processes run until interrupted (Ctrl-C)"
  cat <<LINES
entries    ${ENTRIES[*]}
service    $SERVICE
platform   $PLATFORM
logs       $DIR
customer's key $CUSTOMER, operator's key $MUSTARD_OPERATOR_KEY

curl -N http://${ENTRIES[0]}/v1/completions -H 'Authorization: Bearer $CUSTOMER' -d '{"model":"caption","prompt":"a strip about the moon","max_tokens":16,"stream":true}'
curl http://${ENTRIES[1]}/v1/services/placements/pages/7 -H 'Authorization: Bearer $CUSTOMER' -H 'Idempotency-Key: my-key-1' -d '{"strip":"Moon","page":7}'
curl http://${ENTRIES[0]}/v1/services/placements/pages/7 -H 'Authorization: Bearer $CUSTOMER'
MUSTARD_OPERATOR_KEY=$MUSTARD_OPERATOR_KEY $BIN/mustardctl --entry ${ENTRIES[0]} status
MUSTARD_OPERATOR_KEY=$MUSTARD_OPERATOR_KEY $BIN/mustardctl --entry ${ENTRIES[0]} timeline --follow
LINES
  trap 'echo' INT
  sleep infinity || true
  trap - INT
fi

print_heading "Stopping the processes gracefully"
stop() { # NAME PID
  local code=0
  kill -TERM "$2"
  wait "$2" || code=$?
  check "$1 stopped with exit code 0" 0 "$code"
}
for i in "${!ENTRY_PIDS[@]}"; do
  stop "entry-$i" "${ENTRY_PIDS[$i]}"
done
for i in "${!AGENTS[@]}"; do
  stop "agent $i" "${AGENTS[$i]}"
done

if [[ $FAILED == 0 ]]; then
  print_heading "All checks passed"
else
  print_heading "Some checks failed"
fi
exit $FAILED
