// Promise 3: a box that wakes from a freeze forgets the boxes of another zone that died meanwhile.
start_engine("engine-1", #{ zone: "a", token_ms: 5 });
for name in ["box-1", "box-2", "box-3"] {
    start_box(name, "a");
}
start_box("box-4", "b");
await_ready();
check(await_in_force(set_up(2), 7000) >= 0, "a configuration is in force everywhere within 7 s");
check(complete(#{ at: "box-4", patience_ms: 4000 }).right, "it serves through the other zone");

// Whichever keeper of the zone it heard of the others from, one of the rounds takes it away.
for left in ["box-1", "box-2", "box-3"] {
    freeze("box-4");
    let dead = [];
    for name in ["box-1", "box-2", "box-3"] {
        if name != left {
            kill(name);
            dead += name;
        }
    }
    sleep_ms(5000);
    wake("box-4");
    let until_ms = now_ms() + 8000;
    let known = dead;
    while known.len() > 0 && now_ms() < until_ms {
        known = [];
        for entry in read("box-4", "/admin/v1/status").boxes {
            if entry.record.id in dead { known += entry.record.id; }
        }
        sleep_ms(50);
    }
    note(`${left} left: box-4 still knows ${known}`);
    check(known.len() == 0, "boxes that died during a freeze are forgotten after it");
    check(complete(#{ at: "box-4", patience_ms: 8000 }).right, "it serves through the other zone");
    for name in dead {
        restart_box(name);
    }
    await_ready();
}
