# Functions that start the programs on loopback for the demo and the benches. Source it; call fleetStop at the end.
# Every process is ended by its id; logs go to $fleetDir.

fleetDir=$(mktemp -d)
fleetBin=${fleetBin:-build/bin}
declare -A fleetPid=() fleetHttp=()

# fleetStart NAME PROGRAM ARGS...: starts a program and waits until it listens.
fleetStart() {
    local name=$1 program=$2
    shift 2
    setpriv --pdeathsig KILL "$fleetBin/$program" "$@" >>"$fleetDir/$name.out" 2>>"$fleetDir/$name.log" &
    fleetPid[$name]=$!
    local i line
    for ((i = 0; i < 500; i++)); do
        line=$(grep -a 'event=listening' "$fleetDir/$name.log" 2>/dev/null | tail -n 1)
        if [ -n "$line" ]; then
            fleetHttp[$name]=$(sed -E 's/.* http=([^ ]+).*/\1/' <<<"$line")
            return 0
        fi
        kill -0 "${fleetPid[$name]}" 2>/dev/null || break
        sleep 0.02
    done
    echo "cannot start $name:" >&2
    tail -n 5 "$fleetDir/$name.log" >&2
    return 1
}

# fleetSignal NAME SIGNAL
fleetSignal() { kill "-$2" "${fleetPid[$1]}"; }

# fleetWait NAME: waits for the end of a process and returns its exit code.
fleetWait() { wait "${fleetPid[$1]}"; }

# fleetUp ENTRIES AGENTS [ENTRY_SETTINGS...]: store, entries, agents and a backend server beside each agent.
# slownessOf N, if defined, prints the slowness of backend server N.
fleetUp() {
    local entries=$1 agents=$2 i list="" slow
    shift 2
    local extra=()
    for i in "$@"; do extra+=(--set "$i"); done
    fleetStart store sequoia-standin-store
    for ((i = 1; i <= entries; i++)); do
        fleetStart "entry$i" sequoia-entry --set name="entry$i" --set store_address="${fleetHttp[store]}" "${extra[@]}"
        list+="${list:+,}${fleetHttp[entry$i]}"
    done
    fleetEntries=$list
    for ((i = 1; i <= agents; i++)); do
        slow=1
        declare -F slownessOf >/dev/null && slow=$(slownessOf "$i")
        fleetStart "agent$i" sequoia-agent --set name="agent$i" --set failure_domain="d$((i % 3 + 1))" --set entries="$list"
        fleetStart "backend$i" sequoia-standin-backend --agent "${fleetHttp[agent$i]}" --slowness "$slow" --slots "${fleetSlots:-8}"
    done
    fleetBackends=""
    for ((i = 1; i <= agents; i++)); do fleetBackends+="${fleetBackends:+,}${fleetHttp[backend$i]}"; done
    fleetReady "$entries" "$agents"
}

# fleetReady ENTRIES AGENTS: waits until every entry is ready and linked to every agent.
fleetReady() {
    local i n tries
    for ((i = 1; i <= $1; i++)); do
        for ((tries = 0; tries < 300; tries++)); do
            n=$(curl -s "http://${fleetHttp[entry$i]}/v1/status" | grep -o '"linked":true' | wc -l)
            [ "$n" -ge "$2" ] && curl -sf "http://${fleetHttp[entry$i]}/readyz" >/dev/null && break
            sleep 0.05
        done
        [ "$tries" -lt 300 ] || { echo "entry$i is not ready" >&2; return 1; }
    done
}

# fleetStop: ends what is left, gracefully first.
fleetStop() {
    local name
    for name in "${!fleetPid[@]}"; do kill -CONT "${fleetPid[$name]}" 2>/dev/null; kill -TERM "${fleetPid[$name]}" 2>/dev/null; done
    for name in "${!fleetPid[@]}"; do
        timeout 15 tail --pid="${fleetPid[$name]}" -f /dev/null 2>/dev/null || kill -KILL "${fleetPid[$name]}" 2>/dev/null
    done
    rm -rf "$fleetDir"
}
