// Policy of the bid desk: desk traders go first, planners ask the same and can wait, memo
// drafts fill what is left. Full batches weigh more than stalls.

fn classify(request) {
    // A bid offers water once.
    if request.class == "bid" {
        return #{ rank: 0, repeatable: false };
    }
    // Long memo drafts stand behind the planners' curves.
    if request.class == "memo" {
        return #{ rank: if request.max_tokens > 512 { 70 } else { 60 } };
    }
    #{}
}

fn settings() {
    #{ stall_weight: 0.3 }
}
