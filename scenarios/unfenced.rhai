// An engine that checks no orders: its owner gives orders only under its lease, and a new
// owner takes over only when the old one's lease has lapsed or it has handed over.
start_engine("engine-1", #{ zone: "a", unfenced: true, slots: 2 });
start_box("box-1", "a");
start_box("box-2", "a");
await_ready();
check(await_in_force(set_up(6), 7000) >= 0, "a configuration is in force everywhere within 7 s");
let first = complete(#{ patience_ms: 8000 });
check(first.right, "it serves");
let owner = first.box_id;
let load = start_load(#{ rate_per_s: 20.0, length_ms: 22000, adapters: 6, counter_share: 1.0, max_tokens: 8, patience_ms: 15000 });
sleep_ms(1000);
// Frozen for longer than its lease, then woken: it must not give orders on waking.
freeze(owner);
sleep_ms(11000);
wake(owner);
sleep_ms(1500);
let now = complete(#{ prompt: "who owns it now", patience_ms: 8000 });
check(now.right, "it serves after the owner was frozen");
// A planned stop hands over without waiting for a lease.
let stopped_ms = now_ms();
terminate(now.box_id);
let handed_ms = 0;
while handed_ms == 0 && now_ms() < stopped_ms + 8000 {
    let answer = complete(#{ prompt: "handed over", patience_ms: 300 });
    if answer.right && answer.box_id != now.box_id { handed_ms = now_ms(); }
}
check(handed_ms > 0, "a planned stop hands the engine over");
let sum = finish_load(load);
let report = read("engine-1", "/control/report");
note(`owner frozen, then ${now.box_id} stopped: handed over after ${handed_ms - stopped_ms} ms; ${sum.right} right, ${sum.wrong} wrong, ${sum.not_run} not run, ${sum.lost} lost of ${sum.sent}; ${report.unloads_while_serving} unloads while serving, ${report.loads} loads; failures ${sum.failures}`);
check(sum.wrong == 0, "no answer is wrong");
check(report.unloads_while_serving == 0, "nothing that serves is ordered out");
