// Promise 5 at length: 1,500 calls that may not be repeated, each asked for up to three times
// with one key at different boxes, while replies are lost, calls are refused or run late, and
// boxes freeze, wake, die and come back.
start_service("records", #{ repeatable: false, timeout_ms: 150 });
start_box("box-1", "a");
start_box("box-2", "b");
start_box("box-3", "c");
await_ready();
check(await_in_force(set_up(1), 7000) >= 0, "a configuration is in force everywhere within 7 s");
faults("records", #{ lose_share: 0.15, refuse_share: 0.15, late_share: 0.15, late_ms: 250, delay_ms: 5, seed: random(1000000) });
let calls = start_calls("records", 1500, 20, 3);
sleep_ms(400);
freeze("box-2");
sleep_ms(900);
wake("box-2");
sleep_ms(300);
kill("box-3");
sleep_ms(700);
restart_box("box-3");
sleep_ms(700);
freeze("box-1");
sleep_ms(600);
wake("box-1");
let sum = finish_calls(calls);
sleep_ms(500);
let runs = read("records", "/control/runs");
let most = 0;
let ran = 0;
for key in runs.keys() {
    ran += 1;
    if runs[key] > most { most = runs[key]; }
}
let told = 0;
for key in sum.not_run_keys { if key in runs { told += 1; } }
note(`${sum.sent} calls: ${sum.answered} answered, ${ran} ran, none more than ${most} times; ${told} of ${sum.not_run_keys.len()} told "not run" at every ask had run`);
check(sum.not_run_keys.len() > 0, "some calls were told at every ask not to have run");
check(sum.sent == 1500 && ran > 500, "the calls were made");
check(most == 1, "no call ran twice");
check(told == 0, "no call told not to have run had run");
