//! Answers other boxes.

use std::net::SocketAddr;

use super::Traffic;
use futures_util::future::LocalBoxFuture;
use tinbay_wire::control::{Envelope, Reply};
use zeromq::util::PeerIdentity;
use zeromq::{RouterSendHalf, RouterSocket, Socket, SocketRecv, SocketSend, ZmqError, ZmqMessage};

/// Answers one question.
pub trait Answer: 'static {
    /// The reply to an envelope.
    fn answer(&self, envelope: Envelope) -> LocalBoxFuture<'static, Reply>;
}

/// A bound socket that waits for questions.
pub struct ControlServer {
    socket: RouterSocket,
    address: SocketAddr,
}

impl ControlServer {
    /// Binds an address, port 0 for any.
    ///
    /// # Errors
    /// As the socket library has it.
    pub async fn bind(address: SocketAddr) -> Result<Self, ZmqError> {
        let mut socket = RouterSocket::new();
        let endpoint = socket.bind(&format!("tcp://{address}")).await?;
        let bound = endpoint.to_string();
        let bound = bound.trim_start_matches("tcp://");
        let address = bound.parse().unwrap_or(address);
        Ok(Self { socket, address })
    }

    /// The address bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Answers questions until the socket ends.
    pub async fn run(self, answerer: impl Answer, traffic: Traffic) {
        let (send, mut receive) = self.socket.split();
        while let Ok(message) = receive.recv().await {
            traffic.add_message(&message);
            let Some(question) = Question::decode(message) else {
                continue;
            };
            let reply = answerer.answer(question.envelope);
            let send = send.clone();
            let traffic = traffic.clone();
            ntex::rt::spawn(async move {
                let reply = reply.await;
                let sent = send_reply(send, question.peer, question.number, &reply).await;
                traffic.add(sent);
            });
        }
    }
}

struct Question {
    peer: PeerIdentity,
    number: Vec<u8>,
    envelope: Envelope,
}

impl Question {
    /// Reads `[identity, number, body]`; anything else is dropped.
    fn decode(message: ZmqMessage) -> Option<Self> {
        let mut frames = message.into_vec().into_iter();
        let peer = frames.next()?.try_into().ok()?;
        let number = frames.next()?.to_vec();
        let envelope = postcard::from_bytes(&frames.next()?).ok()?;
        Some(Self {
            peer,
            number,
            envelope,
        })
    }
}

/// Sends a reply; gives its length.
async fn send_reply(
    mut send: RouterSendHalf,
    peer: PeerIdentity,
    number: Vec<u8>,
    reply: &Reply,
) -> usize {
    let Ok(body) = postcard::to_stdvec(reply) else {
        return 0;
    };
    let length = body.len();
    let mut message = ZmqMessage::from(body);
    message.push_front(number.into());
    message.push_front(peer.into());
    // A peer that has gone asks again over a new connection.
    let _ = send.send(message).await;
    length
}
