//! Server side of the control protocol: answers requests from other boxes.

use std::net::SocketAddr;

use super::Traffic;
use futures_util::future::LocalBoxFuture;
use tinbay_wire::control::{Envelope, Reply};
use zeromq::util::PeerIdentity;
use zeromq::{RouterSendHalf, RouterSocket, Socket, SocketRecv, SocketSend, ZmqError, ZmqMessage};

/// Handler for control requests.
pub trait Answer: 'static {
    /// Handles one request and returns its reply.
    fn answer(&self, envelope: Envelope) -> LocalBoxFuture<'static, Reply>;
}

/// A bound ROUTER socket that receives control requests.
pub struct ControlServer {
    socket: RouterSocket,
    address: SocketAddr,
}

impl ControlServer {
    /// Binds an address; port 0 picks a free port.
    ///
    /// # Errors
    /// Returns the socket library's error if the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> Result<Self, ZmqError> {
        let mut socket = RouterSocket::new();
        let endpoint = socket.bind(&format!("tcp://{address}")).await?;
        let bound = endpoint.to_string();
        let bound = bound.trim_start_matches("tcp://");
        let address = bound.parse().unwrap_or(address);
        Ok(Self { socket, address })
    }

    /// The bound address, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Answers requests until the socket fails to receive.
    pub async fn run(self, answerer: impl Answer, traffic: Traffic) {
        let (send, mut receive) = self.socket.split();
        while let Ok(message) = receive.recv().await {
            traffic.add_message(&message);
            let Some(request) = Request::decode(message) else {
                continue;
            };
            let reply = answerer.answer(request.envelope);
            let send = send.clone();
            let traffic = traffic.clone();
            ntex::rt::spawn(async move {
                let reply = reply.await;
                let sent = send_reply(send, request.peer, request.number, &reply).await;
                traffic.add(sent);
            });
        }
    }
}

struct Request {
    peer: PeerIdentity,
    number: Vec<u8>,
    envelope: Envelope,
}

impl Request {
    /// Decodes the frames `[identity, number, body]`; returns `None` for a malformed message.
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

/// Sends a reply and returns the length of its body in bytes.
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
    // A failed send is ignored: a peer that has lost its connection repeats the request on a new
    // one.
    let _ = send.send(message).await;
    length
}
