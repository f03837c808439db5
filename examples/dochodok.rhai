// Policy of the statement explainer: a member who waits at the counter comes first, and a stall for
// a load matters more than a batch that is not full.

fn classify(request) {
    // Annual statements can wait, and long ones rank last.
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
