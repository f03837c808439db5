// A long outage of the key-value service: traffic goes on, an owner that dies is succeeded,
// and all is reconciled after, without a storm of calls.
start_engine("engine-1", #{ zone: "a" });
start_box("box-1", "a");
start_box("box-2", "a");
start_box("box-3", "a");
await_ready();
check(await_in_force(set_up(4), 7000) >= 0, "a configuration is in force everywhere within 7 s");
check(complete(#{ patience_ms: 4000 }).right, "it serves before the outage");
sleep_ms(1000);
let calls = read("kv", "/control/calls");
sleep_ms(4000);
let rest = read("kv", "/control/calls");
let rest_per_s = (rest.reads + rest.writes + rest.watches - calls.reads - calls.writes - calls.watches) / 4.0;

faults("kv", #{ mode: "refuse" });
let load = start_load(#{ rate_per_s: 30.0, length_ms: 14000, adapters: 4, counter_share: 1.0, patience_ms: 8000 });
sleep_ms(2000);
let owner = complete(#{ prompt: "who owns it" }).box_id;
let died_ms = now_ms();
kill(owner);
let succeeded_ms = 0;
while succeeded_ms == 0 && now_ms() < died_ms + 10000 {
    let answer = complete(#{ prompt: "after the death", patience_ms: 500 });
    if answer.right && answer.box_id != owner { succeeded_ms = now_ms(); }
}
check(succeeded_ms > 0, "an owner that dies in an outage is succeeded");
note(`${owner} died in the outage and was succeeded after ${succeeded_ms - died_ms} ms`);
let sum = finish_load(load);
note(`during the outage: ${sum.right} right, ${sum.wrong} wrong, ${sum.not_run} not run, ${sum.lost} lost of ${sum.sent}; failures ${sum.failures}`);
check(sum.wrong == 0, "no answer is wrong in an outage");
check(sum.lost == 0, "no request is lost in an outage");

let before = read("kv", "/control/calls");
faults("kv", #{});
sleep_ms(5000);
let after = read("kv", "/control/calls");
let back_per_s = (after.reads + after.writes + after.watches - before.reads - before.writes - before.watches) / 5.0;
note(`calls a second on the key-value service: ${rest_per_s} at rest with 3 boxes, ${back_per_s} in the 5 s after the outage`);
check(back_per_s < 20.0, "there is no storm of calls after an outage");
check(complete(#{ prompt: "after", patience_ms: 4000 }).right, "it serves after the outage");
let revision = apply(`
[[class]]
name = "after"
rank = 9
max_wait_ms = 1000
`);
check(await_in_force(revision, 7000) >= 0, "changes are accepted again after the outage");
