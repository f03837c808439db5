// Promise 6 for engines: one that says it is leaving ends what it has and gets no new work.
start_engine("engine-1", #{ zone: "a", batch_limit: 32, slots: 8 });
start_engine("engine-2", #{ zone: "b", batch_limit: 32, slots: 8 });
start_box("box-1", "a");
start_box("box-2", "b");
await_ready();
check(await_in_force(set_up(6), 7000) >= 0, "a configuration is in force everywhere within 7 s");
let load = start_load(#{ rate_per_s: 100.0, length_ms: 8000, adapters: 6, keyed: false, patience_ms: 4000 });
sleep_ms(2000);
let left_ms = now_ms();
leave_engine("engine-1");
let last_ms = left_ms;
let asked = 0;
while now_ms() < left_ms + 5500 {
    let now = read("engine-1", "/control/report").asked_while_leaving;
    if now > asked { asked = now; last_ms = now_ms(); }
    sleep_ms(20);
}
let sum = finish_load(load);
note(`${asked} requests reached the leaving engine and were refused there, the last ${last_ms - left_ms} ms after; ${sum.right} right of ${sum.sent}, ${sum.lost} lost; failures ${sum.failures}`);
check(last_ms - left_ms < 3000, "a leaving engine gets no new work after 3 s");
check(sum.right == sum.sent, "every request is answered while an engine leaves");
