// Policy of the statement explainer: a member who waits at the counter goes first, and a
// load stall weighs more than a batch that is not full.

fn classify(request) {
    // Annual statements may wait, long ones longest.
    if request.class == "statements" {
        return #{ rank: if request.prompt_bytes > 8000 { 60 } else { 50 } };
    }
    // An entitlement look-up must never be repeated.
    if request.class == "entitlement" {
        return #{ rank: 0, repeatable: false };
    }
    #{}
}

fn settings() {
    #{ stall_weight: 0.9 }
}
