#!/usr/bin/env bash
# Measures the resource usage of the control plane: runs the daemons as separate
# processes against the stand-ins, all on loopback. Prints the mean CPU time and
# memory of a daemon, and the traffic on the loopback device. Run nothing else on
# loopback meanwhile: its traffic would be counted too.
#
# usage: scripts/cost.sh HOSTS WORKERS EXECUTORS TASKS
set -euo pipefail
cd "$(dirname "$0")/.."
hosts=$1 workers=$2 executors=$3 tasks=$4
settle_s=15 span_s=20 teams=10

dir=$(mktemp -d)
pids=()
finish() {
  kill -9 "${pids[@]}" 2>/dev/null || true
  rm -rf "$dir"
}
trap finish EXIT

go build -o "$dir/" ./cmd/hoist ./cmd/hoistd
"$dir/hoist" demo --serve --hosts 0 --workers "$workers" --executors "$executors" >"$dir/platform" &
pids+=($!)
sleep 2
platform=$(awk '/platform/ {print $2}' "$dir/platform")

daemons=()
for i in $(seq "$hosts"); do
  cat >"$dir/$i.toml" <<END
host = "host-$i"
data-centre = "dc$((i % 3 + 1))"
cores = 4
entry-addr = "127.0.0.1:$((21000 + i))"
caller-addr = "127.0.0.1:$((21200 + i))"
admin-addr = "127.0.0.1:$((21400 + i))"
platform-url = "$platform"
open-access = true
plain-text = true
END
  "$dir/hoistd" --settings "$dir/$i.toml" 2>"$dir/$i.log" &
  daemons+=($!)
  pids+=($!)
done
sleep "$settle_s"

if [ "$tasks" -gt 0 ]; then
  for t in $(seq "$teams"); do
    "$dir/hoist" job submit "s$t" --team "t$t" --kind service --tasks $((tasks / teams)) --cpu-millis 5 \
      --memory-mib 5 --server http://127.0.0.1:21401 >"$dir/job"
  done
  sleep 8
fi

ticks() {
  for pid in "${daemons[@]}"; do awk '{print $14 + $15}' "/proc/$pid/stat"; done | awk '{s += $1} END {print s}'
}
sent() { awk '/lo:/ {print $2}' /proc/net/dev; }

ticks1=$(ticks) sent1=$(sent)
sleep "$span_s"
ticks2=$(ticks) sent2=$(sent)
rss=$(for pid in "${daemons[@]}"; do awk '/VmRSS/ {print $2}' "/proc/$pid/status"; done | awk '{s += $1} END {print s / NR / 1024}')
awk -v h="$hosts" -v w="$workers" -v e="$executors" -v t="$tasks" -v ticks=$((ticks2 - ticks1)) \
  -v bytes=$((sent2 - sent1)) -v span="$span_s" -v hz="$(getconf CLK_TCK)" -v rss="$rss" 'BEGIN {
    printf "hosts %d, workers %d, executors %d, tasks %d: CPU %.2f%% of a core and %.1f MiB a host, loopback %.0f KB/s\n",
      h, w, e, t, 100 * ticks / hz / span / h, rss, bytes / span / 1000
  }'
