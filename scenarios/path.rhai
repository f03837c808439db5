// The whole path: three boxes, two engines, a plain service, every part its own process.
start_engine("engine-1", #{ zone: "a" });
start_engine("engine-2", #{ zone: "b" });
start_service("records", #{});
start_box("box-1", "a");
start_box("box-2", "b");
start_box("box-3", "c");
await_ready();
let revision = set_up(6);
check(await_in_force(revision, 7000) >= 0, "a configuration is in force everywhere within 7 s");

for index in 0..6 {
    let answer = complete(#{ model: `adapter-${index}@v1`, class: "counter" });
    check(answer.right, `adapter-${index}@v1 gives its own whole answer`);
}
let reply = call_service("records", 1);
check(reply.answered, "a plain service is called");

// Each box forwards what another owns: a caller that connects to any box gets the same answer.
let forwarded = 0;
for name in ["box-1", "box-2", "box-3"] {
    let answer = complete(#{ model: "adapter-0@v1", at: name });
    check(answer.right, `${name} gives the whole answer, owner or not`);
    if answer.box_id != name { forwarded += 1; }
}
note(`${forwarded} of 3 boxes forwarded the request to its engine's owner`);
check(forwarded == 2, "the two boxes that do not own the engine forward to the one that does");
let load = start_load(#{ rate_per_s: 60.0, length_ms: 1500, adapters: 6, keyed: false });
let sum = finish_load(load);
note(`${sum.right} of ${sum.sent} right, slowest first token ${sum.first_token_max_ms} ms`);
check(sum.right == sum.sent, "every request of a light load is answered right");

let unknown = complete(#{ model: "nobody@v1" });
check(unknown.failure.code == "unknown_adapter", "an unknown adapter is named as such");
check(unknown.failure.not_run, "an unknown adapter is told not to have run");
