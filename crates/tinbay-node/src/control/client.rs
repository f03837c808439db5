//! Asks other boxes.

use std::collections::HashMap;
use std::time::Duration;

use super::Traffic;
use tinbay_wire::control::{Envelope, Reply};
use tokio::sync::{mpsc, oneshot};
use zeromq::{
    DealerRecvHalf, DealerSendHalf, DealerSocket, Socket, SocketOptions, SocketRecv, SocketSend,
    ZmqMessage,
};

/// How long connecting to a peer may take.
const CONNECT_WITHIN: Duration = Duration::from_secs(1);

/// A peer's connection is dropped after so many questions without an answer in a row, since
/// the socket does not say when the other side has gone.
const SILENT_ASKS: u32 = 2;

/// Questions that may wait for a peer's connection.
const QUEUE_DEPTH: usize = 1_024;

/// Why a box gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ControlError {
    /// It cannot be reached.
    #[error("box cannot be reached")]
    Unreachable,
    /// It did not answer in time.
    #[error("box did not answer in time")]
    TimedOut,
}

struct Ask {
    address: String,
    envelope: Envelope,
    within: Duration,
    answer: oneshot::Sender<Result<Reply, ControlError>>,
}

/// Asks other boxes, from any thread.
#[derive(Clone)]
pub struct ControlClient {
    asks: mpsc::UnboundedSender<Ask>,
    traffic: Traffic,
}

/// The part of the client that runs on the control thread.
pub struct ControlClientTask {
    asks: mpsc::UnboundedReceiver<Ask>,
    traffic: Traffic,
}

impl ControlClient {
    /// A client and its task.
    pub fn new() -> (Self, ControlClientTask) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let traffic = Traffic::default();
        let task = ControlClientTask {
            asks: receiver,
            traffic: traffic.clone(),
        };
        let client = Self {
            asks: sender,
            traffic,
        };
        (client, task)
    }

    /// Counts the bytes of control messages; the server shares it.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Asks the box at a control address.
    ///
    /// # Errors
    /// [`ControlError`]; the question may have arrived all the same.
    pub async fn ask(
        &self,
        address: &str,
        envelope: Envelope,
        within: Duration,
    ) -> Result<Reply, ControlError> {
        let (answer, answered) = oneshot::channel();
        let ask = Ask {
            address: address.to_owned(),
            envelope,
            within,
            answer,
        };
        self.asks.send(ask).map_err(|_| ControlError::Unreachable)?;
        match tokio::time::timeout(within, answered).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(ControlError::Unreachable),
            Err(_) => Err(ControlError::TimedOut),
        }
    }
}

/// Hands each question to the task of its peer; runs on the control thread.
pub async fn run_client(mut task: ControlClientTask) {
    let mut peers: HashMap<String, mpsc::Sender<Ask>> = HashMap::new();
    while let Some(ask) = task.asks.recv().await {
        let ask = match peers.get(&ask.address) {
            None => ask,
            Some(peer) => match peer.try_send(ask) {
                Ok(()) => continue,
                Err(mpsc::error::TrySendError::Closed(ask)) => ask,
                Err(mpsc::error::TrySendError::Full(ask)) => {
                    let _ = ask.answer.send(Err(ControlError::Unreachable));
                    continue;
                }
            },
        };
        start_peer(&mut peers, ask, &task.traffic);
    }
}

fn start_peer(peers: &mut HashMap<String, mpsc::Sender<Ask>>, first: Ask, traffic: &Traffic) {
    let (sender, receiver) = mpsc::channel(QUEUE_DEPTH);
    let address = first.address.clone();
    let _ = sender.try_send(first);
    ntex::rt::spawn(run_peer(address.clone(), receiver, traffic.clone()));
    peers.retain(|_, peer| !peer.is_closed());
    peers.insert(address, sender);
}

async fn connect(address: &str) -> Option<(DealerSendHalf, DealerRecvHalf)> {
    let mut options = SocketOptions::default();
    options.connect_timeout(CONNECT_WITHIN);
    let mut socket = DealerSocket::with_options(options);
    socket.connect(&format!("tcp://{address}")).await.ok()?;
    Some(socket.split())
}

/// Questions to one peer that wait for an answer.
#[derive(Default)]
struct Pending {
    next: u64,
    open: HashMap<u64, oneshot::Sender<Result<Reply, ControlError>>>,
    silent: u32,
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
        self.silent = 0;
        if let Some(answer) = self.open.remove(&number) {
            let _ = answer.send(Ok(reply));
        }
    }

    /// Forgets questions whose askers have given up; `false` when the peer seems gone.
    fn expire(&mut self, number: u64) -> bool {
        if self.open.remove(&number).is_some() {
            self.silent += 1;
        }
        self.silent < SILENT_ASKS
    }
}

fn decode_reply(message: &ZmqMessage) -> Option<(u64, Reply)> {
    let number = message.get(0)?;
    let number = u64::from_be_bytes(number.as_ref().try_into().ok()?);
    let reply = postcard::from_bytes(message.get(1)?).ok()?;
    Some((number, reply))
}

/// Connects to one peer and passes questions and answers until it seems gone.
async fn run_peer(address: String, mut asks: mpsc::Receiver<Ask>, traffic: Traffic) {
    let Some((mut send, mut receive)) = connect(&address).await else {
        asks.close();
        while let Some(ask) = asks.recv().await {
            let _ = ask.answer.send(Err(ControlError::Unreachable));
        }
        return;
    };
    let mut pending = Pending::default();
    let (expired_sender, mut expired) = mpsc::unbounded_channel();
    loop {
        tokio::select! {
            ask = asks.recv() => {
                let Some(ask) = ask else { return };
                let within = ask.within;
                let Some(number) = send_ask(&mut send, &mut pending, ask, &traffic).await else { return };
                let expired_sender = expired_sender.clone();
                ntex::rt::spawn(async move {
                    tokio::time::sleep(within).await;
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

/// Sends a question; `None` when the connection is gone.
async fn send_ask(
    send: &mut DealerSendHalf,
    pending: &mut Pending,
    ask: Ask,
    traffic: &Traffic,
) -> Option<u64> {
    let Ok(body) = postcard::to_stdvec(&ask.envelope) else {
        let _ = ask.answer.send(Err(ControlError::Unreachable));
        return Some(0);
    };
    let number = pending.add(ask.answer);
    let mut message = ZmqMessage::from(number.to_be_bytes().to_vec());
    message.push_back(body.into());
    traffic.add_message(&message);
    send.send(message).await.ok()?;
    Some(number)
}
