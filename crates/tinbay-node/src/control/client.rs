//! Client side of the control protocol: sends requests to other boxes and awaits their replies.

use std::collections::HashMap;
use std::time::Duration;

use super::Traffic;
use tinbay_wire::control::{Envelope, Reply};
use tokio::sync::{mpsc, oneshot};
use zeromq::{
    DealerRecvHalf, DealerSendHalf, DealerSocket, Socket, SocketOptions, SocketRecv, SocketSend,
    ZmqMessage,
};

/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Consecutive requests without a reply after which a peer's connection is closed. The socket
/// does not report that the other side has gone, so timeouts are the only sign.
const MAX_CONSECUTIVE_TIMEOUTS: u32 = 2;

/// Capacity of a peer's request queue; requests beyond it fail as unreachable.
const QUEUE_DEPTH: usize = 1_024;

/// Why a control request got no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ControlError {
    /// The box could not be connected to, the connection was lost, or its request queue is full.
    #[error("box cannot be reached")]
    Unreachable,
    /// No reply arrived within the request's timeout; the box may still have handled it.
    #[error("box did not answer in time")]
    TimedOut,
}

struct Request {
    address: String,
    envelope: Envelope,
    timeout: Duration,
    answer: oneshot::Sender<Result<Reply, ControlError>>,
}

/// Handle for sending control requests to other boxes from any thread.
#[derive(Clone)]
pub struct ControlClient {
    requests: mpsc::UnboundedSender<Request>,
    traffic: Traffic,
}

/// Receiving end of a [`ControlClient`]'s queue, passed to [`run_client`] on the control thread.
pub struct ControlClientTask {
    requests: mpsc::UnboundedReceiver<Request>,
    traffic: Traffic,
}

impl ControlClient {
    /// Creates a client and the task that serves it.
    pub fn new() -> (Self, ControlClientTask) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let traffic = Traffic::default();
        let task = ControlClientTask {
            requests: receiver,
            traffic: traffic.clone(),
        };
        let client = Self {
            requests: sender,
            traffic,
        };
        (client, task)
    }

    /// The byte counter for control messages, which the control server shares.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Sends a request to the box at a control address and waits for its reply.
    ///
    /// # Errors
    /// Returns a [`ControlError`] if no reply arrives; the box may have received the request
    /// anyway.
    pub async fn ask(
        &self,
        address: &str,
        envelope: Envelope,
        timeout: Duration,
    ) -> Result<Reply, ControlError> {
        let (answer, answered) = oneshot::channel();
        let request = Request {
            address: address.to_owned(),
            envelope,
            timeout,
            answer,
        };
        self.requests
            .send(request)
            .map_err(|_| ControlError::Unreachable)?;
        match tokio::time::timeout(timeout, answered).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(ControlError::Unreachable),
            Err(_) => Err(ControlError::TimedOut),
        }
    }
}

/// Dispatches each request to the task of its peer; runs on the control thread.
pub async fn run_client(mut task: ControlClientTask) {
    let mut peers: HashMap<String, mpsc::Sender<Request>> = HashMap::new();
    while let Some(request) = task.requests.recv().await {
        let request = match peers.get(&request.address) {
            None => request,
            Some(peer) => match peer.try_send(request) {
                Ok(()) => continue,
                Err(mpsc::error::TrySendError::Closed(request)) => request,
                Err(mpsc::error::TrySendError::Full(request)) => {
                    let _ = request.answer.send(Err(ControlError::Unreachable));
                    continue;
                }
            },
        };
        start_peer(&mut peers, request, &task.traffic);
    }
}

fn start_peer(
    peers: &mut HashMap<String, mpsc::Sender<Request>>,
    first: Request,
    traffic: &Traffic,
) {
    let (sender, receiver) = mpsc::channel(QUEUE_DEPTH);
    let address = first.address.clone();
    let _ = sender.try_send(first);
    ntex::rt::spawn(run_peer(address.clone(), receiver, traffic.clone()));
    peers.retain(|_, peer| !peer.is_closed());
    peers.insert(address, sender);
}

async fn connect(address: &str) -> Option<(DealerSendHalf, DealerRecvHalf)> {
    let mut options = SocketOptions::default();
    options.connect_timeout(CONNECT_TIMEOUT);
    let mut socket = DealerSocket::with_options(options);
    socket.connect(&format!("tcp://{address}")).await.ok()?;
    Some(socket.split())
}

/// Requests to one peer that have been sent and not yet answered.
#[derive(Default)]
struct Pending {
    next: u64,
    open: HashMap<u64, oneshot::Sender<Result<Reply, ControlError>>>,
    consecutive_timeouts: u32,
}

impl Pending {
    fn add(&mut self, answer: oneshot::Sender<Result<Reply, ControlError>>) -> u64 {
        self.next += 1;
        self.open.insert(self.next, answer);
        self.next
    }

    fn resolve(&mut self, message: &ZmqMessage) {
        let Some((number, reply)) = decode_reply(message) else {
            return;
        };
        self.consecutive_timeouts = 0;
        if let Some(answer) = self.open.remove(&number) {
            let _ = answer.send(Ok(reply));
        }
    }

    /// Drops a request that has timed out; returns `false` once [`MAX_CONSECUTIVE_TIMEOUTS`] is
    /// reached and the connection should be closed.
    fn expire(&mut self, number: u64) -> bool {
        if self.open.remove(&number).is_some() {
            self.consecutive_timeouts += 1;
        }
        self.consecutive_timeouts < MAX_CONSECUTIVE_TIMEOUTS
    }
}

fn decode_reply(message: &ZmqMessage) -> Option<(u64, Reply)> {
    let number = message.get(0)?;
    let number = u64::from_be_bytes(number.as_ref().try_into().ok()?);
    let reply = postcard::from_bytes(message.get(1)?).ok()?;
    Some((number, reply))
}

/// Connects to one peer and exchanges requests and replies until the connection fails or the
/// peer stops replying.
async fn run_peer(address: String, mut requests: mpsc::Receiver<Request>, traffic: Traffic) {
    let Some((mut send, mut receive)) = connect(&address).await else {
        requests.close();
        while let Some(request) = requests.recv().await {
            let _ = request.answer.send(Err(ControlError::Unreachable));
        }
        return;
    };
    let mut pending = Pending::default();
    let (expired_sender, mut expired) = mpsc::unbounded_channel();
    loop {
        tokio::select! {
            request = requests.recv() => {
                let Some(request) = request else { return };
                let timeout = request.timeout;
                let Some(number) = send_request(&mut send, &mut pending, request, &traffic).await else { return };
                let expired_sender = expired_sender.clone();
                ntex::rt::spawn(async move {
                    tokio::time::sleep(timeout).await;
                    let _ = expired_sender.send(number);
                });
            }
            message = receive.recv() => match message {
                Ok(message) => {
                    traffic.add_message(&message);
                    pending.resolve(&message);
                }
                Err(_) => return,
            },
            Some(number) = expired.recv() => {
                if !pending.expire(number) {
                    return;
                }
            }
        }
    }
}

/// Sends a request and returns its number; `None` if the connection has failed.
async fn send_request(
    send: &mut DealerSendHalf,
    pending: &mut Pending,
    request: Request,
    traffic: &Traffic,
) -> Option<u64> {
    let Ok(body) = postcard::to_stdvec(&request.envelope) else {
        let _ = request.answer.send(Err(ControlError::Unreachable));
        return Some(0);
    };
    let number = pending.add(request.answer);
    let mut message = ZmqMessage::from(number.to_be_bytes().to_vec());
    message.push_back(body.into());
    traffic.add_message(&message);
    send.send(message).await.ok()?;
    Some(number)
}
