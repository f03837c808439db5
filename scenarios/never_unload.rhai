// Promise 2: an adapter that serves a counter request is never unloaded.
start_engine("engine-1", #{ zone: "a", slots: 2, token_ms: 10 });
start_engine("engine-2", #{ zone: "b", slots: 2, token_ms: 10 });
start_box("box-1", "a");
start_box("box-2", "b");
start_box("box-3", "c");
await_ready();
check(await_in_force(set_up(12), 7000) >= 0, "a configuration is in force everywhere within 7 s");

// Batch work for many adapters presses on two slots an engine, while long counter answers run.
let load = start_load(#{ rate_per_s: 40.0, length_ms: 9000, adapters: 12, skew: 0.3, counter_share: 0.4, max_tokens: 40, patience_ms: 3000 });
sleep_ms(2500);
kill("box-1");
sleep_ms(4000);
restart_box("box-1");
let sum = finish_load(load);
note(`${sum.right} right, ${sum.wrong} wrong, ${sum.not_run} not run, ${sum.lost} lost of ${sum.sent}, ${sum.resumed} resumed; failures ${sum.failures}`);
for name in ["engine-1", "engine-2"] {
    let report = read(name, "/control/report");
    note(`${name}: ${report.loads} loads, ${report.unloads_while_serving} unloads while serving`);
    check(report.loads > 12, "slots were under pressure");
    check(report.unloads_while_serving == 0, "no adapter was ordered out while it served");
}
check(sum.wrong == 0, "no answer is wrong");
