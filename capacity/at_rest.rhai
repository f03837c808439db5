// Slopes at rest: processor time, memory, control bytes and calls on the key-value service
// of each box, over the number of boxes. Nothing but control goes on.
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
    let cpu = 0; let bytes = 0.0; let memory = 0;
    let kv = read("kv", "/control/calls");
    for index in 0..started {
        cpu -= usage(`box-${index}`).cpu_ms;
        bytes -= metric(`box-${index}`, "tinbay_control_bytes");
    }
    sleep_ms(10000);
    let kv_after = read("kv", "/control/calls");
    let worst = 0.0;
    for index in 0..started {
        let used = usage(`box-${index}`);
        cpu += used.cpu_ms;
        if used.memory_kib > memory { memory = used.memory_kib; }
        bytes += metric(`box-${index}`, "tinbay_control_bytes");
    }
    let calls = kv_after.reads + kv_after.writes - kv.reads - kv.writes;
    note(`${size} boxes: a box uses ${cpu / 100.0 / size} % of a core, ${memory} KiB at most, ${bytes / 10.0 / size} control bytes/s; key-value service ${calls / 10.0} calls/s`);
}
