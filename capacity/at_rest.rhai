// Measures CPU time, memory, control bytes and calls to the key-value service per box at rest, for
// growing numbers of boxes. There are no requests, only control messages.
let sizes = [3, 6, 12, 24, 48];
let zones = ["a", "b", "c"];
let started = 0;
for size in sizes {
    while started < size {
        start_box(`box-${started}`, zones[started % 3]);
        started += 1;
    }
    await_ready();
    if size == 3 { set_up(10); }
    sleep_ms(4000);
    let cpu_ms = 0; let control_bytes = 0.0; let max_memory_kib = 0;
    let kv_before = read("kv", "/control/calls");
    for index in 0..started {
        cpu_ms -= usage(`box-${index}`).cpu_ms;
        control_bytes -= metric(`box-${index}`, "tinbay_control_bytes");
    }
    sleep_ms(10000);
    let kv_after = read("kv", "/control/calls");
    let worst = 0.0;
    for index in 0..started {
        let used = usage(`box-${index}`);
        cpu_ms += used.cpu_ms;
        if used.memory_kib > max_memory_kib { max_memory_kib = used.memory_kib; }
        control_bytes += metric(`box-${index}`, "tinbay_control_bytes");
    }
    let kv_calls = kv_after.reads + kv_after.writes - kv_before.reads - kv_before.writes;
    note(`${size} boxes: a box uses ${cpu_ms / 100.0 / size} % of a core, at most ${max_memory_kib} KiB, ${control_bytes / 10.0 / size} control bytes/s; key-value service ${kv_calls / 10.0} calls/s`);
}
