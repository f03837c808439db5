// Promise 6: a box that the platform marks as leaving receives no new work after a few seconds.
start_engine("engine-1", #{ zone: "a", batch_limit: 32 });
start_engine("engine-2", #{ zone: "b", batch_limit: 32 });
start_box("box-1", "a");
start_box("box-2", "b");
start_box("box-3", "c");
await_ready();
check(await_in_force(set_up(6), 7000) >= 0, "a configuration is in force everywhere within 7 s");

let load = start_load(#{ rate_per_s: 100.0, length_ms: 10000, adapters: 6, keyed: false, patience_ms: 4000 });
sleep_ms(1500);
let marked_ms = now_ms();
mark_leaving("box-1");
let last_ms = marked_ms;
let before = metric("box-1", "tinbay_work_total");
while now_ms() < marked_ms + 7500 {
    let now = metric("box-1", "tinbay_work_total");
    if now > before { last_ms = now_ms(); before = now; }
    sleep_ms(50);
}
let sum = finish_load(load);
note(`last new request ${last_ms - marked_ms} ms after the mark; ${sum.right} right of ${sum.sent}, ${sum.lost} lost`);
check(last_ms - marked_ms < 4000, "a leaving box gets no new work after 4 s");
check(sum.right == sum.sent, "every request is answered while a box leaves");
