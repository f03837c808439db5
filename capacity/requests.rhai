// Slope over requests: processor time of a box for each request it takes from a caller or
// from another box, over the rate and over the tokens of an answer. Engines are never full.
for name in ["engine-1", "engine-2", "engine-3"] {
    start_engine(name, #{ zone: "a", slots: 16, batch_limit: 512, prefill_ms: 2, token_ms: 2 });
}
start_box("box-0", "a");
start_box("box-1", "a");
start_box("box-2", "a");
await_ready();
check(await_in_force(set_up(12), 7000) >= 0, "a configuration is in force");
finish_load(start_load(#{ rate_per_s: 50.0, length_ms: 1500, adapters: 12, max_tokens: 8, keyed: false }));
for step in [[50.0, 8], [200.0, 8], [400.0, 8], [100.0, 64], [100.0, 256]] {
    let rate = step[0]; let tokens = step[1];
    let cpu = 0; let work = 0.0;
    for name in ["box-0", "box-1", "box-2"] {
        cpu -= usage(name).cpu_ms;
        work -= metric(name, "tinbay_work_total");
    }
    let began = now_ms();
    let sum = finish_load(start_load(#{ rate_per_s: rate, length_ms: 8000, adapters: 12, max_tokens: tokens, keyed: false }));
    let took = now_ms() - began;
    let memory = 0;
    for name in ["box-0", "box-1", "box-2"] {
        let used = usage(name);
        cpu += used.cpu_ms;
        work += metric(name, "tinbay_work_total");
        if used.memory_kib > memory { memory = used.memory_kib; }
    }
    note(`${rate} requests/s of ${tokens} tokens: ${sum.right} of ${sum.sent} right, ${work} taken by boxes, ${cpu} ms of processor time in ${took} ms, ${cpu / work} ms a request taken, ${memory} KiB at most, slowest first token ${sum.first_token_max_ms} ms`);
}
