// Promise 8: an accepted configuration is in force everywhere within seconds and never reverts.
start_engine("engine-1", #{ zone: "a" });
start_box("box-1", "a");
start_box("box-2", "b");
start_box("box-3", "c");
await_ready();
check(await_in_force(set_up(2), 7000) >= 0, "a first configuration is in force everywhere within 7 s");

fn class(wait) {
    `[[class]]
name = "memo"
rank = 20
max_wait_ms = ${wait}
`
}

// Plain changes, each timed until it is in force on every box.
let times = [];
for round in 0..50 {
    let taken = await_in_force(apply(class(1000 + round)), 7000);
    check(taken >= 0, "a change is in force everywhere within 7 s");
    times.push(taken);
}
times.sort();
note(`50 changes in force on 3 boxes after p50 ${times[25]}, p98 ${times[48]}, max ${times[49]} ms`);

// The key-value service goes out right after it accepted, with no watch told anything.
faults("kv", #{ mute_watches: true });
let revision = apply_at("box-1", "before-outage", class(2000));
faults("kv", #{ mode: "refuse", mute_watches: true });
let taken = await_in_force(revision, 7000);
note(`accepted right before an outage: in force everywhere after ${taken} ms`);
check(taken >= 0, "a change accepted right before an outage is in force everywhere within 7 s");
let refused = "";
try { apply_at("box-2", "during-outage", class(3000)); } catch (error) { refused = `${error}`; }
check(refused.contains("platform_unavailable"), "a change during an outage is refused as not made");
faults("kv", #{});
sleep_ms(1500);

// The reply is lost after the write took effect: made once, reported as accepted.
faults("kv", #{ lose_write_replies: 1 });
let accepted = apply_at("box-1", "lost-reply", class(4000));
let again = apply_at("box-2", "lost-reply", class(4000));
check(accepted == again, "a change with a lost reply is made once and reported as accepted");

// Two operators: the second one gets a conflict from the version check.
// The second one has seen it: while it is not in force at the box asked, the revision seen is the conflict.
let first_operator = apply(`
[[version]]
adapter = "adapter-0"
name = "v9"
weights = "store://one"
`);
check(await_in_force(first_operator, 7000) >= 0, "the first operator's version is in force everywhere within 7 s");
let conflict = "";
try {
    apply_at("box-3", "second-operator", `
[[version]]
adapter = "adapter-0"
name = "v9"
weights = "store://two"
`);
} catch (error) { conflict = `${error}`; }
check(conflict.contains("invalid_change"), "a version is never changed under its callers");

// A frozen box wakes and serves by the new configuration from its first answer on.
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
let taken = await_in_force(while_frozen, 7000);
note(`a woken box has the change in force after ${taken} ms`);
check(taken >= 0, "a woken box has the change in force within 7 s");
check(complete(#{ model: "late@v1", patience_ms: 3000 }).right, "the change is served everywhere");
