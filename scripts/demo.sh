#!/usr/bin/env bash
# Runs the whole path on loopback as separate processes: stand-in, three routers,
# three controllers. Applies a configuration, drives chats and service calls,
# kills one router in the middle, drains one engine, prints a report. Exits
# non-zero if an answer was cut, crossed, lost or doubled.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/bin
work=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop_all EXIT

peers=""
for i in 1 2 3; do peers+="  - {id: $i, address: \"127.0.0.1:720$i\", dataCentre: am$i}"$'\n'; done

"$bin/hemlockdyke-standin" --engines 4 2>"$work/standin.log" &
pids+=($!)
for i in 1 2 3; do
  cat >"$work/router$i.yaml" <<YAML
id: $i
dataCentre: am$i
listen: {callers: "127.0.0.1:710$i", peers: "127.0.0.1:720$i", admin: "127.0.0.1:730$i"}
platform: {url: "http://127.0.0.1:7000"}
control: {gossipInterval: 500ms, pollInterval: 1s, suspectAfter: 2s, freshFor: 5s}
shutdown: {balancerLag: 1s, grace: 20s}
peers:
$peers
YAML
  cat >"$work/controller$i.yaml" <<YAML
id: $i
dataCentre: am$i
listen: "127.0.0.1:740$i"
platform: {url: "http://127.0.0.1:7000"}
lease: 3s
peers:
$peers
YAML
  "$bin/hemlockdyke-router" --settings "$work/router$i.yaml" >"$work/router$i.log" 2>&1 &
  pids+=($!)
  "$bin/hemlockdyke-controller" --settings "$work/controller$i.yaml" >"$work/controller$i.log" 2>&1 &
  pids+=($!)
done
router2=${pids[3]}

ctl() { "$bin/hemlockctl" --server http://127.0.0.1:7401 --server http://127.0.0.1:7402 --server http://127.0.0.1:7403 "$@"; }
wait_for() { # wait_for DESCRIPTION COMMAND...
  local what=$1; shift
  for _ in $(seq 200); do "$@" >/dev/null 2>&1 && return 0; sleep 0.05; done
  echo "gave up waiting for $what" >&2; tail -n 3 "$work"/*.log >&2; return 1
}
get() { "$bin/hemlockdyke-bench" get "$@"; }
get http://127.0.0.1:7401/livez >/dev/null

echo "== apply"
ctl apply -f examples/demo.yaml
for i in 1 2 3; do get "http://127.0.0.1:710$i/readyz" >/dev/null; done

echo "== load, with a router killed and an engine drained under way"
load() {
  "$bin/hemlockdyke-bench" load --router http://127.0.0.1:7101 --router http://127.0.0.1:7102 --router http://127.0.0.1:7103 \
    --engine http://127.0.0.1:7010 --engine http://127.0.0.1:7011 --engine http://127.0.0.1:7012 --engine http://127.0.0.1:7013 \
    --service http://127.0.0.1:7050 --team dealers --team owners --model drafter --pool notices "$@"
}
load --chats 120 --turns 6 --parallel 24 >"$work/report.json" &
loading=$!
sleep 2
ctl apply -f examples/role-change.yaml
ctl drain engine-3
sleep 1
echo "killing router 2, process $router2"
kill -9 "$router2"
outcome=0
wait "$loading" || outcome=$?
cat "$work/report.json"

echo "== planned changes"
complete() { ctl -o json describe plannedchange "$1" | grep -q '"phase": "Done"'; }
drain=$(ctl -o json get plannedchange | grep -o '"drain-engine-3-[0-9]*"' | tr -d '"' | head -n 1)
wait_for "the adapter load" complete engine-2-adapter
echo "engine-2-adapter: Done"
# Router 2 is dead and can't confirm the mark: the drain goes on when it has been
# silent for longer than a router may serve uninformed.
for _ in $(seq 400); do complete "$drain" && break; sleep 0.05; done
ctl describe plannedchange "$drain"

echo "== routers"
for i in 1 3; do get "http://127.0.0.1:730$i/status"; done
ctl describe pool drafting
echo "== service-level burn"
ctl report burn
if [ "$outcome" -ne 0 ]; then echo "demo failed: see the report above" >&2; fi
exit "$outcome"
