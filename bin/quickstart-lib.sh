# Functions of bin/quickstart and of the tests on processes. Needs bash and curl.

# Processes started by this shell, by id; only these are ended.
started_pids=()

# start NAME COMMAND...: runs a program in the background, its output in $work/NAME.out.
start() {
    local name=$1
    shift
    "$@" > "$work/$name.out" 2>&1 &
    started_pids+=($!)
    eval "pid_${name//-/_}=$!"
}

# port_of NAME: waits for the line "listening ..." of a program and prints its port.
port_of() {
    local line
    for _ in $(seq 1 150); do
        line=$(grep -m1 '^listening' "$work/$1.out" 2>/dev/null || true)
        if [ -n "$line" ]; then
            echo "$line" | sed -E 's/^listening (http )?[0-9.]+:([0-9]+).*/\2/'
            return
        fi
        sleep 0.2
    done
    echo "quickstart: expected $1 to listen within 30 s; its output:" >&2
    cat "$work/$1.out" >&2
    return 1
}

# peer_port_of NAME: prints the peer port of a daemon.
peer_port_of() {
    port_of "$1" > /dev/null
    grep -m1 '^listening' "$work/$1.out" | sed -E 's/.* peer ([0-9]+)$/\1/'
}

# wait_ready PORT: waits until the daemon on PORT takes requests.
wait_ready() {
    for _ in $(seq 1 150); do
        curl -sf -o /dev/null "http://127.0.0.1:$1/readyz" && return
        sleep 0.2
    done
    echo "quickstart: expected the daemon on port $1 to be ready within 30 s, found:" >&2
    curl -s "http://127.0.0.1:$1/readyz" >&2
    return 1
}

# new_key: prints a UUIDv7.
new_key() {
    local time random
    time=$(printf '%012x' "$(date +%s%3N)")
    random=$(head -c 10 /dev/urandom | od -An -tx1 | tr -d ' \n')
    echo "${time:0:8}-${time:8:4}-7${random:0:3}-8${random:3:3}-${random:6:12}"
}

stop_all() {
    local pid
    for pid in "${started_pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${started_pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
