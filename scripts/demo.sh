#!/usr/bin/env bash
# Runs 6 VMs in 3 data centres and 2 regions with stand-in engines and tool
# services on loopback, runs examples/programs.json against them through
# operator actions and failures, and checks the guarantees that callers and
# operators can observe. Set DEMO_KEEP=1 to keep the folder with logs and records
# after a success.
set -euo pipefail
cd "$(dirname "$0")/.."

bin=build/bin
work=$(mktemp -d "${TMPDIR:-/tmp}/mangoknot-demo.XXXXXX")
processes=()   # ids of the processes that this script started
failures=0
started=$SECONDS

say() { printf '[%2ds] %s\n' $((SECONDS - started)) "$*"; }

fail() {
  failures=$((failures + 1))
  say "BROKEN: $*"
}

# Stops the processes of this script by id. SIGKILL follows after 2 s, because a
# process that ignores SIGTERM would outlive the demo.
stop_all() {
  local status=$? id
  trap - EXIT
  for id in "${processes[@]}"; do kill -TERM "$id" 2>/dev/null || true; done
  for _ in $(seq 20); do
    alive=0
    for id in "${processes[@]}"; do if kill -0 "$id" 2>/dev/null; then alive=1; fi; done
    if [[ $alive == 0 ]]; then break; fi
    sleep 0.1
  done
  for id in "${processes[@]}"; do kill -KILL "$id" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [[ $status == 0 && ${DEMO_KEEP:-0} == 0 ]]; then
    rm -rf "$work"
  else
    echo "logs and records: $work"
  fi
  exit "$status"
}
trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# Removes an ended process from the list, because the system may reuse its id.
remove_process() {
  local id kept=()
  for id in "${processes[@]}"; do if [[ $id != "$1" ]]; then kept+=("$id"); fi; done
  processes=("${kept[@]}")
}

# Waits up to 10 s until a file has enough matching lines; arguments: file, pattern,
# count.
await_lines() {
  for _ in $(seq 100); do
    if [[ $(grep -c "$2" "$1" 2>/dev/null) -ge $3 ]]; then return 0; fi
    sleep 0.1
  done
  say "no $3 lines like '$2' in $1"
  exit 1
}

json_text() { sed -n "s/^ *\"$1\": \"\([^\"]*\)\".*/\1/p" | head -n 1; }

millis() { date +%s%3N; }

### Addresses
vms=(a1 a2 b1 b2 c1 c2)
declare -A centre=([a1]=dc-a [a2]=dc-a [b1]=dc-b [b2]=dc-b [c1]=dc-c [c2]=dc-c)
declare -A region=([dc-a]=west [dc-b]=west [dc-c]=east)
declare -A caller operator peer pid
mapfile -t ports < <("$bin/mangoknot-load" ports 18)
for i in "${!vms[@]}"; do
  vm=${vms[$i]}
  caller[$vm]=127.0.0.1:${ports[$((3 * i))]}
  operator[$vm]=127.0.0.1:${ports[$((3 * i + 1))]}
  peer[$vm]=127.0.0.1:${ports[$((3 * i + 2))]}
done
voters=a1=${peer[a1]},b1=${peer[b1]},c1=${peer[c1]}
all_vms=()
operators=()
for vm in "${vms[@]}"; do
  all_vms+=(--vm "${caller[$vm]}")
  operators+=("${operator[$vm]}")
  echo "$vm callers ${caller[$vm]} operators ${operator[$vm]} peers ${peer[$vm]}" >>"$work/addresses"
done

### Operators
"$bin/mangoknot" --output json operator new demo >"$work/operator.json"
MANGOKNOT_OPERATOR_TOKEN=$(json_text token <"$work/operator.json")
export MANGOKNOT_OPERATOR_TOKEN
json_text line <"$work/operator.json" >"$work/operators"
op() { "$bin/mangoknot" "${operators[@]/#/--address=}" --output json "$@" 2>>"$work/operator.log"; }

### Stand-ins and VMs
engines=()
tools=()
declare -A engine_of tool_of
for dc in dc-a dc-b dc-c; do
  "$bin/mangoknot-emulator" --engine 127.0.0.1:0 --engine 127.0.0.1:0 --tool 127.0.0.1:0 \
    --model model-a --model model-b >"$work/$dc.stand-ins" 2>&1 &
  processes+=($!)
  await_lines "$work/$dc.stand-ins" '^tool' 1
  engine_of[$dc]=$(sed -n 's/^engine //p' "$work/$dc.stand-ins")
  tool_of[$dc]=$(sed -n 's/^tool //p' "$work/$dc.stand-ins")
  for address in ${engine_of[$dc]}; do engines+=(--engine "$address"); done
  tools+=(--tool "${tool_of[$dc]}")
done
for vm in "${vms[@]}"; do
  options=()
  if [[ $voters == *"$vm="* ]]; then options+=(--data-dir "$work/$vm.data"); fi
  "$bin/mangoknotd" --vm "$vm" --data-centre "${centre[$vm]}" --region "${region[${centre[$vm]}]}" \
    --listen "${caller[$vm]}" --operator-listen "${operator[$vm]}" --peer-listen "${peer[$vm]}" \
    --voters "$voters" --homes dc-a,dc-b,dc-c --operators-file "$work/operators" --insecure \
    --unready-delay 1s --drain-deadline 20s "${options[@]}" >"$work/$vm.log" 2>&1 &
  pid[$vm]=$!
  processes+=($!)
done
"$bin/mangoknot-load" ready "${all_vms[@]}" --within 20s
say "6 VMs in 3 data centres are ready"

### Configuration
op model put model-a --prompt-price 1 --cached-price 0.25 --generated-price 4 >/dev/null
op model put model-b --prompt-price 0.5 --cached-price 0.125 --generated-price 2 >/dev/null
services=()
for dc in dc-a dc-b dc-c; do
  number=0
  for address in ${engine_of[$dc]}; do
    number=$((number + 1))
    op target put "engine-$dc-$number" --target-address "$address" --data-centre "$dc" --region "${region[$dc]}" \
      --model model-a --model model-b --fencing >/dev/null
  done
  op target put "tools-$dc" --kind service --target-address "${tool_of[$dc]}" --data-centre "$dc" --region "${region[$dc]}" >/dev/null
  services+=("tools-$dc")
done
service_options=()
for service in "${services[@]}"; do service_options+=(--target "$service"); done
op route put lookup --repeatable --timeout 10s "${service_options[@]}" >/dev/null
op route put payment --timeout 10s --price 0.001 "${service_options[@]}" >/dev/null
accounts=()
for account in harbor:2 market:1 corner:1 visitor:1; do
  name=${account%:*} weight=${account#*:}
  op account put "$name" --weight "$weight" --rate 20 --burst 40 --budget 1000 --program-budget 0.05 >/dev/null
  op --wait 5s key create "$name" --id "$name-key" >"$work/$name.key"
  accounts+=("{\"name\":\"$name\",\"key\":\"$(json_text key <"$work/$name.key")\",\"weight\":$weight,\"rate\":20,\"burst\":40}")
done
(IFS=,; echo "[${accounts[*]}]") >"$work/accounts.json"
say "models, targets, routes, client accounts and keys are in force"

### Programs
"$bin/mangoknot-load" run --programs examples/programs.json --accounts "$work/accounts.json" "${all_vms[@]}" \
  --record "$work/record.jsonl" --summary "$work/summary.json" "${engines[@]}" "${tools[@]}" --drained "${caller[b2]}" \
  >"$work/report" 2>&1 &
run=$!
processes+=("$run")
say "the programs run"

sleep 2
op --wait 5s preset use peak >/dev/null
say "the preset peak is in force"

### Withdrawal of a key during a stream
MANGOKNOT_KEY=$(json_text key <"$work/visitor.key")
export MANGOKNOT_KEY
"$bin/mangoknot-load" stream --vm "${caller[a2]}" --model model-a --max-tokens 4000 >"$work/stream" 2>&1 &
stream=$!
processes+=("$stream")
await_lines "$work/stream" '^started' 1
withdrawn=$(millis)
op key withdraw visitor-key >>"$work/operator.log"
"$bin/mangoknot-load" refused "${all_vms[@]}" --within 5s >"$work/refused" 2>&1 || fail "the withdrawn key: $(cat "$work/refused")"
await_lines "$work/stream" '^ended' 1
wait "$stream" || true
remove_process "$stream"
read -r _ code at _ < <(grep '^ended' "$work/stream")
if [[ $code != key_withdrawn ]]; then fail "the stream with the withdrawn key ended with $code"; fi
if ((at - withdrawn > 5000)); then fail "the stream ended $((at - withdrawn)) ms after the withdrawal"; fi
read -r _ _ last < <(grep '^refused' "$work/refused" || echo "refused none 0")
say "key withdrawn: stream ended with $code after $((at - withdrawn)) ms, refused on all 6 VMs after $((last - withdrawn)) ms"

### Planned stop of a VM
"$bin/mangoknot" --address "${operator[b2]}" --output json drain 2>>"$work/operator.log"
drained=0
wait "${pid[b2]}" || drained=$?
remove_process "${pid[b2]}"
if [[ $drained != 0 ]]; then fail "the drained VM ended with status $drained"; fi
if grep -q 'calls that still run are cut' "$work/b2.log"; then fail "the drained VM cut calls"; fi
say "b2 was drained and has ended"

### Crash of a voter
kill -KILL "${pid[c1]}"
wait "${pid[c1]}" 2>/dev/null || true
remove_process "${pid[c1]}"
say "c1, a voter, was killed"

### Report
status=0
wait "$run" || status=$?
remove_process "$run"
echo
cat "$work/report"
echo
op spend show >"$work/spend.json" || fail "the spend could not be read"
"$bin/mangoknot" --address "${operator[a1]}" --address "${operator[b1]}" --output table spend show
if [[ $status != 0 ]]; then fail "mangoknot-load ended with status $status"; fi
if [[ $failures != 0 ]]; then
  say "$failures checks failed"
  exit 1
fi
say "all checks passed"
