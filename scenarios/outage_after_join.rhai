// Promise 7: in an outage of the key-value service an engine is taken over by a box that came after its owner.
start_engine("engine-1", #{ zone: "a" });
start_box("box-1", "b");
await_ready();
check(await_in_force(set_up(4), 7000) >= 0, "a configuration is in force everywhere within 7 s");
check(complete(#{ patience_ms: 4000 }).right, "the only box owns the engine of another zone");

// Each of them is preferred to the one before, or stands behind it from the next look on.
for name in ["box-2", "box-3", "box-4"] {
    start_box(name, "a");
    await_ready();
    sleep_ms(1000);
}
sleep_ms(3000);
faults("kv", #{ mode: "refuse" });
for round in 0..2 {
    let owner = complete(#{ prompt: `who owns it in round ${round}`, patience_ms: 8000 }).box_id;
    check(owner != "", "the engine has an owner");
    kill(owner);
    let died_ms = now_ms();
    let succeeded_ms = 0;
    while succeeded_ms == 0 && now_ms() < died_ms + 10000 {
        let answer = complete(#{ prompt: `after death ${round}`, patience_ms: 500 });
        if answer.right && answer.box_id != owner { succeeded_ms = now_ms(); }
    }
    note(`${owner} died in the outage and was succeeded after ${succeeded_ms - died_ms} ms`);
    check(succeeded_ms > 0, "an owner that dies in an outage is succeeded, whoever came before it");
}
