// An accepted configuration is in force on every box within seconds and is never reverted.
start_engine("engine-1", #{ zone: "a" });
start_box("box-1", "a");
start_box("box-2", "b");
start_box("box-3", "c");
await_ready();
check(await_in_force(set_up(2), 7000) >= 0, "a first configuration is in force on every box within 7 s");

fn class(wait) {
    `[[class]]
name = "memo"
rank = 20
max_wait_ms = ${wait}
`
}

// Changes without faults, each timed until it is in force on every box.
let times_ms = [];
for round in 0..50 {
    let elapsed_ms = await_in_force(apply(class(1000 + round)), 7000);
    check(elapsed_ms >= 0, "a change is in force on every box within 7 s");
    times_ms.push(elapsed_ms);
}
times_ms.sort();
note(`50 changes in force on 3 boxes after p50 ${times_ms[25]}, p98 ${times_ms[48]}, max ${times_ms[49]} ms`);

// The key-value service fails right after it accepted a change, before any watch received it.
faults("kv", #{ mute_watches: true });
let revision = apply_at("box-1", "before-outage", class(2000));
faults("kv", #{ mode: "refuse", mute_watches: true });
let elapsed_ms = await_in_force(revision, 7000);
note(`accepted right before an outage: in force on every box after ${elapsed_ms} ms`);
check(elapsed_ms >= 0, "a change accepted right before an outage is in force on every box within 7 s");
let refused = "";
try { apply_at("box-2", "during-outage", class(3000)); } catch (error) { refused = `${error}`; }
check(refused.contains("platform_unavailable"), "a change during an outage is refused and reported as not made");
faults("kv", #{});
sleep_ms(1500);

// The reply is lost after the write took effect: the change is made once and reported as accepted.
faults("kv", #{ lose_write_replies: 1 });
let accepted = apply_at("box-1", "lost-reply", class(4000));
let again = apply_at("box-2", "lost-reply", class(4000));
check(accepted == again, "a change with a lost reply is made once and reported as accepted");

// Two operators define the same version differently: the second change is invalid, because a
// version is immutable. Without the wait, box-3 might not have the first change yet, and the second
// would be refused for its outdated revision instead.
let first_operator = apply(`
[[version]]
adapter = "adapter-0"
name = "v9"
weights = "store://one"
`);
check(await_in_force(first_operator, 7000) >= 0, "the first operator's version is in force on every box within 7 s");
let conflict = "";
try {
    apply_at("box-3", "second-operator", `
[[version]]
adapter = "adapter-0"
name = "v9"
weights = "store://two"
`);
} catch (error) { conflict = `${error}`; }
check(conflict.contains("invalid_change"), "an existing version cannot be changed");

// A box that was frozen serves by the new configuration from its first response after waking.
freeze("box-3");
let while_frozen = apply(`
[[adapter]]
name = "late"
organisation = "late"
base_model = "base"

[[version]]
adapter = "late"
name = "v1"
weights = "store://late/v1"
`);
sleep_ms(5000);
wake("box-3");
let elapsed_ms = await_in_force(while_frozen, 7000);
note(`a woken box has the change in force after ${elapsed_ms} ms`);
check(elapsed_ms >= 0, "a woken box has the change in force within 7 s");
check(complete(#{ model: "late@v1", patience_ms: 3000 }).right, "the added adapter is served");
