//! Messages to a process, well formed or not, over a plain connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::{Epoch, Incarnation, RequestId, Seq};
use mustard_proto::agent::{AgentInfo, Heartbeat};
use mustard_proto::step::{Hop, Input, Opening, Output, Step};
use mustard_proto::{Envelope, Head, Message, Refusal, codec};
use mustard_tests::Cluster;

/// Sends a body and returns the connection, on which the answer is still to come.
pub(crate) fn open(to: SocketAddr, path: &str, body: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(to).unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    // The receiver may refuse before it has read everything.
    let _ = stream.write_all(body);
    stream
}

/// Reads an answer to a message.
pub(crate) fn read<M: Message>(mut stream: TcpStream) -> Result<M::Answer, Refusal> {
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let start = answer.windows(4).position(|w| w == b"\r\n\r\n").unwrap() + 4;
    codec::decode_reply::<M::Answer>(&answer[start..])
        .unwrap()
        .result
}

pub(crate) fn raw<M: Message>(to: SocketAddr, body: &[u8]) -> Result<M::Answer, Refusal> {
    read::<M>(open(to, M::PATH, body))
}

pub(crate) fn encode<M: Message>(head: Head, message: M) -> Vec<u8> {
    codec::encode(&Envelope::new(head, message)).unwrap()
}

pub(crate) fn send_at<M: Message>(to: SocketAddr, seq: u64, m: M) -> Result<M::Answer, Refusal> {
    let seq = Seq(seq);
    let head = Head {
        seq,
        ..Head::default()
    };
    raw::<M>(to, &encode(head, m))
}

pub(crate) fn send<M: Message>(to: SocketAddr, message: M) -> Result<M::Answer, Refusal> {
    send_at(to, 0, message)
}

pub(crate) fn info(to: SocketAddr) -> AgentInfo {
    let from = "test".to_owned();
    send(to, Heartbeat { from }).unwrap()
}

/// A request driven over the stages of a cluster.
pub(crate) struct Draft {
    pub(crate) request: RequestId,
    pub(crate) opening: Opening,
    pub(crate) to: SocketAddr,
}

impl Draft {
    pub(crate) fn new(cluster: &Cluster, request: u128) -> Self {
        let hop = |node: &mustard_tests::node::Node| Hop {
            addr: node.agent.addr(),
            incarnation: Incarnation(0),
            layers: node.layers,
        };
        let opening = Opening {
            chain: cluster.stages.iter().map(hop).collect(),
            model: mustard_tests::plan::MODEL.into(),
            fingerprint: Fingerprint(request),
            priority: 1,
            deadline_ms: 60_000,
        };
        let to = cluster.stages[0].agent.addr();
        let request = RequestId(request);
        Draft {
            request,
            opening,
            to,
        }
    }

    pub(crate) fn step(&self, pos: u32, tokens: &[u32]) -> Step {
        Step {
            request: self.request,
            epoch: Epoch(1),
            stage: 0,
            pos,
            input: Input::Tokens(tokens.to_vec()),
            opening: (pos == 0).then(|| self.opening.clone()),
            limit_ms: 30_000,
        }
    }

    pub(crate) fn send(&self, pos: u32, tokens: &[u32]) -> Result<Output, Refusal> {
        send(self.to, self.step(pos, tokens))
    }
}
