//! Admission requests to a holder that answers, loses messages or is silent.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;

use tinbay_core::serving::servers::{ServerRecord, ServerState, SoftwareVersion};
use tinbay_core::units::Millis;
use tinbay_gateway::clock::Clock;
use tinbay_gateway::servers::{Server, ServerTable};
use tinbay_gateway::sharing::Sharing;
use tinbay_gateway::sharing::asking::{AdmissionParams, AdmissionResult, request_admission};
use tinbay_gateway::sharing::links::{AdmissionContext, AdmissionHolder};
use tinbay_gateway::sharing::messages::{AdmissionReply, AdmissionReplyPart, AdmissionRequestPart};
use tinbay_gateway::sharing::outcome::AdmissionOutcome;

const PARAMS: AdmissionParams = AdmissionParams {
    account: 1,
    rank: 0,
    units: 100,
    prefill_ms: 5,
    in_time_ms: 500,
    digest: 9,
};

/// A box whose holder gives the listed replies in turn and then stays silent; `None` is a lost
/// message.
struct FakeContext {
    sharing: Sharing,
    is_scarce: bool,
    replies: RefCell<Vec<Option<AdmissionReply>>>,
    sends: Cell<u32>,
    numbers: RefCell<Vec<u32>>,
    now_ms: Cell<Millis>,
}

impl FakeContext {
    fn new(replies: &[Option<AdmissionReply>]) -> Self {
        Self {
            sharing: Sharing::default(),
            is_scarce: true,
            replies: RefCell::new(replies.iter().rev().copied().collect()),
            sends: Cell::new(0),
            numbers: RefCell::default(),
            now_ms: Cell::new(1_000),
        }
    }
}

impl AdmissionContext for FakeContext {
    fn now_ms(&self) -> Millis {
        self.now_ms.get()
    }

    fn sharing(&self) -> &Sharing {
        &self.sharing
    }

    fn is_scarce(&self, _server: &Server) -> bool {
        self.is_scarce
    }

    fn admission_holder(&self, _server: &Server) -> Option<AdmissionHolder> {
        Some(AdmissionHolder::Other("holder".to_string()))
    }

    fn send_request(
        &self,
        _holder: &AdmissionHolder,
        _server: &Rc<Server>,
        part: AdmissionRequestPart,
    ) {
        self.sends.set(self.sends.get() + 1);
        self.numbers.borrow_mut().push(part.number);
        let number = part.number;
        if let Some(Some(reply)) = self.replies.borrow_mut().pop() {
            self.sharing
                .deliver_reply(AdmissionReplyPart { number, reply });
        }
    }
}

fn server() -> Rc<Server> {
    let mut table = ServerTable::new(Clock::start());
    table.put(ServerRecord {
        id: "i-1".to_string(),
        born_ms: Some(1),
        service: "engine".to_string(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "z1".to_string(),
        software_version: SoftwareVersion::named("v1"),
        slots: 4,
        state: ServerState::Ready,
        remaining_ms: None,
        slow_for_ms: 0,
        order_count: 0,
        models: Vec::new(),
        adapters: Vec::new(),
    });
    table.get("i-1").expect("server i-1 is listed")
}

fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build();
    runtime.expect("the runtime starts").block_on(future)
}

fn outcome(result: Option<AdmissionResult>) -> Option<(AdmissionOutcome, Option<Millis>)> {
    result.map(|result| (result.outcome, result.retry_after_ms))
}

#[test]
fn request_admission_not_scarce_sends_nothing() {
    let context = FakeContext {
        is_scarce: false,
        ..FakeContext::new(&[])
    };
    assert_eq!(run(request_admission(&context, &server(), PARAMS)), None);
    assert_eq!(context.sends.get(), 0);
}

#[test]
fn request_admission_admitted_and_rejected() {
    let rejected = AdmissionReply::Rejected {
        retry_after_ms: 700,
    };
    let context = FakeContext::new(&[Some(AdmissionReply::Admitted), Some(rejected)]);
    let first = run(request_admission(&context, &server(), PARAMS));
    assert_eq!(outcome(first), Some((AdmissionOutcome::Holder, None)));
    let second = run(request_admission(&context, &server(), PARAMS));
    let expected = Some((AdmissionOutcome::Rejected, Some(700)));
    assert_eq!(outcome(second), expected);
}

/// A request whose answer is lost must be sent again under the same number, also after it was
/// queued.
#[test]
fn request_admission_lost_message_is_resent() {
    let context = FakeContext::new(&[
        None,
        Some(AdmissionReply::Queued),
        None,
        Some(AdmissionReply::Admitted),
    ]);
    let result = run(request_admission(&context, &server(), PARAMS));
    assert_eq!(outcome(result), Some((AdmissionOutcome::Holder, None)));
    assert_eq!(*context.numbers.borrow(), vec![1; 4]);
}

/// With a silent holder, a box admits one request at a time at the server. It doesn't ask the
/// holder for a while and then asks again.
#[test]
fn request_admission_silent_holder_limits_own_requests() {
    let context = FakeContext::new(&[]);
    let server = server();
    let first = run(request_admission(&context, &server, PARAMS));
    assert_eq!(
        outcome(first),
        Some((AdmissionOutcome::WithoutHolder, None))
    );
    let sends = context.sends.get();
    let running = server.begin_request(Some(7), 100);
    let second = run(request_admission(&context, &server, PARAMS))
        .expect("a result while the server is scarce");
    assert_eq!(second.outcome, AdmissionOutcome::NoAnswer);
    assert!(second.retry_after_ms > Some(0));
    assert_eq!(context.sends.get(), sends);
    drop(running);
    context.now_ms.set(3_000);
    context
        .replies
        .borrow_mut()
        .push(Some(AdmissionReply::Admitted));
    let third = run(request_admission(&context, &server, PARAMS));
    assert_eq!(outcome(third), Some((AdmissionOutcome::Holder, None)));
}

/// The box that is asked is no longer the holder.
#[test]
fn request_admission_not_holder_limits_own_requests() {
    let context = FakeContext::new(&[Some(AdmissionReply::NotHolder)]);
    let result = run(request_admission(&context, &server(), PARAMS));
    assert_eq!(
        outcome(result),
        Some((AdmissionOutcome::WithoutHolder, None))
    );
    assert_eq!(context.sends.get(), 1);
}

/// A holder that queues a request and never decides. The request must not wait for it beyond its
/// time limit.
#[test]
fn request_admission_undecided_holder_limits_own_requests() {
    let context = FakeContext::new(&[Some(AdmissionReply::Queued); 50]);
    let result = run(request_admission(&context, &server(), PARAMS));
    assert_eq!(
        outcome(result),
        Some((AdmissionOutcome::WithoutHolder, None))
    );
    let in_time_ms = u32::try_from(PARAMS.in_time_ms).expect("fits into u32");
    assert!(context.sends.get() <= in_time_ms / 100 + 3);
}

/// Replies without a waiting request must change nothing.
#[test]
fn deliver_reply_late_or_unknown_is_ignored() {
    let context = FakeContext::new(&[
        Some(AdmissionReply::Admitted),
        Some(AdmissionReply::Admitted),
    ]);
    run(request_admission(&context, &server(), PARAMS));
    for number in [1, 77] {
        for reply in [
            AdmissionReply::Admitted,
            AdmissionReply::Queued,
            AdmissionReply::NotHolder,
        ] {
            context
                .sharing
                .deliver_reply(AdmissionReplyPart { number, reply });
        }
    }
    let result = run(request_admission(&context, &server(), PARAMS));
    assert_eq!(outcome(result), Some((AdmissionOutcome::Holder, None)));
}
