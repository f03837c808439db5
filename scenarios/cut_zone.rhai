// Two zones are cut off (all their boxes freeze): the other zones keep their views of each other and
// their owners, serve on, and take them back when they return.
start_engine("engine-1", #{ zone: "a" });
start_engine("engine-2", #{ zone: "b" });
for name in ["box-1", "box-2"] { start_box(name, "a"); }
for name in ["box-3", "box-4"] { start_box(name, "b"); }
let cut = ["box-5", "box-6", "box-7", "box-8", "box-9", "box-10"];
for index in 0..cut.len() { start_box(cut[index], if index < 3 { "c" } else { "d" }); }
await_ready();
check(await_in_force(set_up(4), 7000) >= 0, "a configuration is in force everywhere within 7 s");
check(complete(#{ patience_ms: 4000 }).right, "it serves before the cut");
sleep_ms(1500);
let calls = read("kv", "/control/calls");
for name in cut { freeze(name); }
let cut_ms = now_ms();
let least = 10.0;
let load = start_load(#{ rate_per_s: 20.0, length_ms: 14000, adapters: 4, counter_share: 1.0, patience_ms: 4000 });
while now_ms() < cut_ms + 15000 {
    for name in ["box-1", "box-2", "box-3", "box-4"] {
        let known = metric(name, "tinbay_boxes_known");
        if known < least { least = known; }
    }
    sleep_ms(50);
}
let after = read("kv", "/control/calls");
let sum = finish_load(load);
note(`while zones c and d were cut: at least ${least} boxes known to each of the other four; ${after.writes - calls.writes} writes to the key-value service; ${sum.right} right, ${sum.wrong} wrong, ${sum.not_run} not run, ${sum.lost} lost of ${sum.sent}; failures ${sum.failures}`);
check(least >= 4.0, "the boxes of the other zones do not lose each other");
check(after.writes - calls.writes == 0, "no engine changes its owner because other zones are cut");
check(sum.wrong == 0 && sum.lost == 0, "the other zones serve on");
let revision = apply(`
[[class]]
name = "during-the-cut"
rank = 9
max_wait_ms = 1000
`);
for name in cut { wake(name); }
let taken = await_in_force(revision, 7000);
note(`the zones have the change made meanwhile after ${taken} ms`);
check(taken >= 0, "zones that come back have what they missed within 7 s");
