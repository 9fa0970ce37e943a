#!/usr/bin/env bash
# Starts the whole path as separate processes on loopback and shows it at work.
#
#   ./scripts/demo.sh          runs every step, stops everything and exits 0 if each was right
#   ./scripts/demo.sh --keep   leaves the processes up until interrupted, with lines to try
set -euo pipefail
cd "$(dirname "$0")/.."

KEEP=no
[[ "${1:-}" == "--keep" ]] && KEEP=yes

readonly BIN=target/debug
readonly LAYERS=12
readonly TOKENS=24
readonly PROMPT="11,7,31999,0,5"
readonly CUSTOMER=peachtree-demo
readonly WAIT_STEPS=300
readonly WAIT_PAUSE=0.1
export MUSTARD_OPERATOR_KEY=operator-key

DIR=$(mktemp -d)
PIDS=()
FAILED=0

say() { printf '\n== %s\n' "$*"; }

check() { # NAME EXPECTED READ
  if [[ "$2" == "$3" ]]; then
    echo "right: $1"
  else
    echo "WRONG: $1"
    echo "  expected: $2"
    echo "  read:     $3"
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

# Starts a program in the background and sets ADDR and PID.
start() { # NAME PROGRAM ARGUMENTS...
  local name=$1 program=$2
  shift 2
  # The file exists before it is read below.
  : >"$DIR/$name.out"
  # A session of its own keeps an interrupt at the terminal from the process.
  setsid "$BIN/$program" "$@" >"$DIR/$name.out" 2>"$DIR/$name.log" &
  PID=$!
  PIDS+=("$PID")
  for ((i = 0; i < WAIT_STEPS; i++)); do
    ADDR=$(sed -n 's/^listening //p' "$DIR/$name.out")
    [[ -n "$ADDR" ]] && return
    if ! kill -0 "$PID" 2>/dev/null; then
      break
    fi
    sleep "$WAIT_PAUSE"
  done
  echo "$name did not start:"
  tail -n 20 "$DIR/$name.log"
  exit 1
}

list_vm() { # NAME KIND ADDR DOMAIN
  curl -sSf -X PUT "http://$PLATFORM/vms" -d \
    "{\"name\":\"$1\",\"kind\":\"$2\",\"addr\":\"$3\",\"domain\":\"$4\",\"state\":\"live\"}"
}

eventually() { # NAME COMMAND...
  local name=$1
  shift
  for ((i = 0; i < WAIT_STEPS; i++)); do
    "$@" >/dev/null 2>&1 && return
    sleep "$WAIT_PAUSE"
  done
  echo "WRONG: $name did not come true"
  FAILED=1
}

say "Building the programs"
cargo build --workspace --bins --locked

say "Starting the stand-ins, agents and entries"
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
  list_vm "stage-$stage" agent "$ADDR" ga-north-a
  echo "stage-$stage holds layers $layers, agent at $ADDR"
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
list_vm booking-0 agent "$ADDR" ga-north-b
echo "booking-0 stands beside the service at $SERVICE, agent at $ADDR"

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
  list_vm "entry-$entry" entry "$ADDR" ga-north-a
  echo "entry-$entry at $ADDR"
done
export MUSTARD_ENTRY=${ENTRIES[0]}

complete() { # ENTRY STREAM [CURL ARGUMENTS...]
  local entry=$1 stream=$2
  shift 2
  curl -sS "$@" "http://$entry/v1/completions" -H "Authorization: Bearer $CUSTOMER" \
    -H 'Content-Type: application/json' -d \
    "{\"model\":\"caption\",\"prompt\":[$PROMPT],\"max_tokens\":$TOKENS,\"stream\":$stream}"
}

book() { # ENTRY KEY PAGE
  curl -sS -w '\n%{http_code}' "http://$1/v1/services/placements/pages/4" \
    -H "Authorization: Bearer $CUSTOMER" -H "Idempotency-Key: $2" \
    -H 'Content-Type: application/json' -d "{\"strip\":\"Moon\",\"page\":$3}"
}

read_status() { # ENTRY
  curl -sSf "http://$1/v1/services/placements/pages/4" -H "Authorization: Bearer $CUSTOMER"
}

say "Applying the catalogue file"
"$BIN/mustardctl" apply -f examples/catalogue.toml --yes
for entry in "${ENTRIES[@]}"; do
  eventually "a draft through $entry" complete "$entry" false -f
  eventually "a status read through $entry" read_status "$entry"
done
"$BIN/mustardctl" status

say "A streamed draft"
complete "${ENTRIES[0]}" true >"$DIR/stream"
head -n 3 "$DIR/stream"
echo "..."
tail -n 3 "$DIR/stream"
text=$(sed -n 's/^data: {.*"text":"\([^"]*\)".*/\1/p' "$DIR/stream" | tr -d '\n')
expected=$("$BIN/fake-reference" --layers $LAYERS --prompt "$PROMPT" --tokens $TOKENS)
check "the streamed draft equals the reference" "$expected" "$text"
check "the stream ends with its marker" "data: [DONE]" "$(grep -v '^$' "$DIR/stream" | tail -n 1)"
check "the end names the number of tokens" 1 \
  "$(grep -c "\"completion_tokens\":$TOKENS" "$DIR/stream" || true)"

say "A booking sent twice with the same key, through both entries"
first=$(book "${ENTRIES[0]}" strip-moon-4 4)
second=$(book "${ENTRIES[1]}" strip-moon-4 4)
echo "$first"
check "the first answer is 201" 201 "${first##*$'\n'}"
check "the second answer is the first one" "$first" "$second"
check "the service booked once" 1 "$(curl -sS "http://$SERVICE/ledger" | grep -o '"number"' | wc -l)"

say "A status read"
status=$(read_status "${ENTRIES[1]}")
check "one booking is on the page" '{"path":"/pages/4","booked":1}' "$status"

say "A refusal"
refused=$(book "${ENTRIES[1]}" strip-moon-4 5)
echo "$refused"
check "the key with another body is not run" 1 "$(grep -c '"outcome":"not_run"' <<<"$refused" || true)"
check "the service still booked once" 1 \
  "$(curl -sS "http://$SERVICE/ledger" | grep -o '"number"' | wc -l)"

say "The merged time line, its last lines"
"$BIN/mustardctl" timeline >"$DIR/timeline"
tail -n 15 "$DIR/timeline"
for process in entry-0 entry-1 stage-0 stage-1 stage-2 booking-0; do
  check "the time line has events of $process" yes \
    "$(grep -q "$process" "$DIR/timeline" && echo yes || echo no)"
done

if [[ $KEEP == yes ]]; then
  say "Everything stays up until interrupted (Ctrl-C)"
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

say "Stopping everything gracefully"
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
  say "Each step was right"
else
  say "Some step was wrong"
fi
exit $FAILED
