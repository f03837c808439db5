// Policy of the bid desk: desk traders come first, planners send the same requests and can wait,
// and memo drafts use the remaining capacity. Full batches matter more than stalls.

fn classify(request) {
    // A bid offers the same water only once, so it must not be repeated.
    if request.class == "bid" {
        return #{ rank: 0, repeatable: false };
    }
    // Long memo drafts rank behind the planners' curves.
    if request.class == "memo" {
        return #{ rank: if request.max_tokens > 512 { 70 } else { 60 } };
    }
    #{}
}

fn settings() {
    #{ stall_weight: 0.3 }
}
