#!/bin/bash
# Runs three instances and the stand-in targets of the Zarqa deployment as
# separate processes on loopback, sends a lookup, a booking and a download,
# kills one instance with SIGKILL and sends them again. Exits 0 if all answers
# were complete and no booking ran twice.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
cleanup() {
  for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

go build -o "$work/cranberrywind" ./cmd/cranberrywind
cw="$work/cranberrywind"
# The checked-in configuration names ten instances; this run has the first three.
awk '/^\[instance zarqa-([4-9]|10)\]/{skip=1; next} /^\[/{skip=0} !skip' examples/zarqa/text.ini >"$work/text.ini"

instance() {
  sed "s#^data = data#data = $work/data#; s#^drain = .*#drain = 200ms#" "examples/zarqa/instances/zarqa-$1.ini" >"$work/zarqa-$1.ini"
  "$cw" serve --settings "$work/zarqa-$1.ini" 2>>"$work/zarqa-$1.log" &
  pids+=($!)
}
target() {
  "$cw" standin --name "$1" --service "$2" --kind "$3" --record "$work/records" \
    --announce 127.0.0.1:7102,127.0.0.1:7112,127.0.0.1:7122 >/dev/null &
  pids+=($!)
}

for n in 1 2 3; do instance $n; done
first=${pids[0]}
op=127.0.0.1:7113
for try in $(seq 100); do
  "$cw" config propose --operator $op --file "$work/text.ini" --base 0 --change-id first >/dev/null 2>&1 && break
  sleep 0.2
done
for m in zarqa_kettles irbid_packers; do
  "$cw" config vote --operator $op --change first --member $m --key examples/zarqa/keys/$m.key
done
for n in 1 2 3; do
  target stock-$n stock lookup
  target orders-$n orders booking
  target sheets-$n price_sheets download
done

# send ENTRY: a lookup, a booking and a download; fails unless each is done.
send() {
  local base=http://127.0.0.1:$1 out
  out=$(curl -sf -D - "$base/stock/palm-oil") || return 1
  grep -qi 'Cranberrywind-Outcome: done' <<<"$out" || return 1
  out=$(curl -sf -D - -X POST -H "Idempotency-Key: $2" -d qty=2 "$base/orders/grocer-7") || return 1
  grep -qi 'Cranberrywind-Outcome: done' <<<"$out" || return 1
  curl -sf -o "$work/sheet" "$base/sheets/today.pdf" || return 1
  [[ $(stat -c %s "$work/sheet") == 1048576 ]] || return 1
}
retry() {
  for try in $(seq 100); do
    "$@" && return 0
    sleep 0.1
  done
  return 1
}

retry send 7101 order-1
echo "before the kill: lookup, booking and download done"
kill -9 "$first"
retry send 7111 order-1
retry send 7121 order-2
echo "after the kill of instance zarqa-1: lookup, booking and download done"
twice=$(grep -o '"booking_key":"[^"]*"' "$work/records" | sort | uniq -d)
[[ -z $twice ]] || { echo "ran twice: $twice"; exit 1; }
echo "no booking ran twice"
