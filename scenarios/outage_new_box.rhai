// Promise 7: a box that joins in an outage of the key-value service takes no engine from the box that has it.
start_engine("engine-1", #{ zone: "a" });
start_engine("engine-2", #{ zone: "a" });
start_box("box-1", "a");
start_box("box-4", "b");
await_ready();
check(await_in_force(set_up(4), 7000) >= 0, "a configuration is in force everywhere within 7 s");
check(complete(#{ patience_ms: 4000 }).right, "it serves before the outage");
sleep_ms(2000);

faults("kv", #{ mode: if random(2) == 0 { "refuse" } else { "hang" } });
let load = start_load(#{ rate_per_s: 30.0, length_ms: 9000, adapters: 4, keyed: false, patience_ms: 3000, at: "box-4" });
start_box("box-2", "a");
start_box("box-3", "a");
let sum = finish_load(load);
note(`while boxes joined: ${sum.right} right, ${sum.wrong} wrong, ${sum.not_run} not run, ${sum.lost} lost of ${sum.sent}; slowest first token ${sum.first_token_max_ms} ms; failures ${sum.failures}`);
check(sum.right == sum.sent, "engines stay with the box that has them while others join in an outage");

faults("kv", #{});
let ended_ms = now_ms();
let taken_ms = 0;
while taken_ms == 0 && now_ms() < ended_ms + 10000 {
    for name in ["box-2", "box-3"] {
        if metric(name, "tinbay_engines_owned") > 0.0 { taken_ms = now_ms(); }
    }
    sleep_ms(100);
}
check(taken_ms > 0, "boxes that joined take engines over after the outage");
note(`the first engine is taken over ${taken_ms - ended_ms} ms after the outage`);
check(complete(#{ prompt: "after", patience_ms: 4000 }).right, "it serves after the outage");
