//! Sends messages to a process over a plain TCP connection, valid or not.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::{Epoch, Incarnation, RequestId, Seq};
use mustard_proto::agent::{AgentInfo, Heartbeat};
use mustard_proto::step::{AttemptParams, ChainStage, Input, Output, Step};
use mustard_proto::{Envelope, Message, MessageHeader, Refusal, codec};
use mustard_tests::Cluster;

/// Sends a body and returns the connection without waiting for the answer.
pub(crate) fn open_request(to: SocketAddr, path: &str, body: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(to).unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    // The receiver may refuse and close before it has read the whole body.
    let _ = stream.write_all(body);
    stream
}

/// Reads the answer to a message.
pub(crate) fn read_reply<M: Message>(mut stream: TcpStream) -> Result<M::Answer, Refusal> {
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let start = answer.windows(4).position(|w| w == b"\r\n\r\n").unwrap() + 4;
    codec::decode_reply::<M::Answer>(&answer[start..])
        .unwrap()
        .result
}

pub(crate) fn send_body<M: Message>(to: SocketAddr, body: &[u8]) -> Result<M::Answer, Refusal> {
    read_reply::<M>(open_request(to, M::PATH, body))
}

pub(crate) fn encode<M: Message>(head: MessageHeader, message: M) -> Vec<u8> {
    codec::encode(&Envelope::new(head, message)).unwrap()
}

pub(crate) fn send_with_seq<M: Message>(
    to: SocketAddr,
    seq: u64,
    message: M,
) -> Result<M::Answer, Refusal> {
    let seq = Seq(seq);
    let head = MessageHeader {
        seq,
        ..MessageHeader::default()
    };
    send_body::<M>(to, &encode(head, message))
}

pub(crate) fn send<M: Message>(to: SocketAddr, message: M) -> Result<M::Answer, Refusal> {
    send_with_seq(to, 0, message)
}

pub(crate) fn fetch_info(to: SocketAddr) -> AgentInfo {
    let from = "test".to_owned();
    send(to, Heartbeat { from }).unwrap()
}

/// Sends the steps of one request to the first stage of a cluster, as an entry process does.
pub(crate) struct StepClient {
    pub(crate) request: RequestId,
    pub(crate) params: AttemptParams,
    pub(crate) to: SocketAddr,
}

impl StepClient {
    pub(crate) fn new(cluster: &Cluster, request: u128) -> Self {
        let to_chain_stage = |node: &mustard_tests::node::Node| ChainStage {
            addr: node.agent.addr(),
            incarnation: Incarnation(0),
            layers: node.layers,
        };
        let params = AttemptParams {
            chain: cluster.stages.iter().map(to_chain_stage).collect(),
            model: mustard_tests::plan::MODEL.into(),
            fingerprint: Fingerprint(request),
            priority: 1,
            deadline_ms: 60_000,
        };
        let to = cluster.stages[0].agent.addr();
        let request = RequestId(request);
        StepClient {
            request,
            params,
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
            params: (pos == 0).then(|| self.params.clone()),
            limit_ms: 30_000,
        }
    }

    pub(crate) fn send(&self, pos: u32, tokens: &[u32]) -> Result<Output, Refusal> {
        send(self.to, self.step(pos, tokens))
    }
}
