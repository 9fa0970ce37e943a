//! Tests that messages decode to what was encoded and that invalid bytes return a typed error.
#![allow(clippy::unwrap_used)]

use mustard_core::event::{Event, EventKind};
use mustard_core::fingerprint::Fingerprint;
use mustard_core::hlc::Hlc;
use mustard_core::ids::{Epoch, Incarnation, Layers, RequestId, Seq};
use mustard_proto::agent::{AgentInfo, AgentState, Heartbeat, Load, Role};
use mustard_proto::step::{AttemptParams, ChainStage, Input, Output, Step};
use mustard_proto::timeline::{TimelineAnswer, TimelineRequest};
use mustard_proto::{Envelope, Message, MessageHeader, ProtoError, Refusal, Reply, codec};

fn reply_with<T>(result: Result<T, Refusal>) -> Reply<T> {
    Reply {
        at: Hlc(5),
        seq: Seq(6),
        from: Incarnation(7),
        result,
    }
}

fn first_step() -> Step {
    let stage = ChainStage {
        addr: "127.0.0.1:9".parse().unwrap(),
        incarnation: Incarnation(3),
        layers: Layers::new(0, 8),
    };
    let params = AttemptParams {
        chain: vec![stage],
        model: "m".into(),
        fingerprint: Fingerprint(u128::MAX),
        priority: 1,
        deadline_ms: 900,
    };
    Step {
        request: RequestId(u128::MAX - 1),
        epoch: Epoch(2),
        stage: 0,
        pos: 4,
        input: Input::Tokens(vec![1, 2]),
        params: Some(params),
        limit_ms: 50,
    }
}

#[test]
fn decode_message_step() {
    let sent = Envelope::new(MessageHeader::default(), first_step());
    let bytes = codec::encode(&sent).unwrap();
    assert_eq!(codec::decode_message::<Step>(&bytes).unwrap(), sent);
}

#[test]
fn decode_message_newer_version() {
    let mut sent = Envelope::new(MessageHeader::default(), Heartbeat { from: "e".into() });
    sent.version = 9;
    let bytes = codec::encode(&sent).unwrap();
    let error = codec::decode_message::<Heartbeat>(&bytes).unwrap_err();
    assert!(matches!(
        error,
        ProtoError::Version {
            got: 9,
            supported: 1
        }
    ));
}

#[test]
fn decode_message_truncated() {
    let bytes = codec::encode(&Envelope::new(MessageHeader::default(), first_step())).unwrap();
    for end in 0..bytes.len() {
        assert!(
            codec::decode_message::<Step>(&bytes[..end]).is_err(),
            "truncated at {end}"
        );
    }
}

#[test]
fn decode_message_random_bytes() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let _ = codec::decode_message::<Step>(bytes);
        let _ = codec::decode_message::<TimelineRequest>(bytes);
        let _ = codec::decode_reply::<<Step as Message>::Answer>(bytes);
    });
}

#[test]
fn decode_reply_output() {
    let load = Load {
        running: 1,
        step_us: 30,
        ..Load::default()
    };
    let sent = reply_with(Ok(Output {
        token: 4,
        pos: 5,
        loads: vec![(1, load)],
    }));
    let bytes = codec::encode(&sent).unwrap();
    assert_eq!(codec::decode_reply::<Output>(&bytes).unwrap(), sent);
}

#[test]
fn decode_reply_refusal() {
    let cause = Box::new(Refusal::StaleEpoch { current: Epoch(8) });
    let sent: Reply<Output> = reply_with(Err(Refusal::NextFailed { stage: 2, cause }));
    let bytes = codec::encode(&sent).unwrap();
    assert_eq!(codec::decode_reply::<Output>(&bytes).unwrap(), sent);
}

#[test]
fn decode_reply_agent_info() {
    let role = Role::Stage {
        model: "m".into(),
        version: "1".into(),
        layers: Layers::new(4, 8),
        accelerator: "a".into(),
    };
    let sent = reply_with(Ok(AgentInfo {
        vm: "vm".into(),
        domain: "d".into(),
        incarnation: Incarnation(1),
        state: AgentState::Ready,
        role,
        load: Load::default(),
    }));
    let bytes = codec::encode(&sent).unwrap();
    assert_eq!(codec::decode_reply::<AgentInfo>(&bytes).unwrap(), sent);
}

#[test]
fn decode_reply_events() {
    let kind = EventKind::AttemptStarted {
        epoch: Epoch(1),
        chain: vec!["a".into()],
    };
    let event = Event {
        at: Hlc(9),
        process: "e".into(),
        request: Some(RequestId(u128::MAX)),
        kind,
    };
    let sent = reply_with(Ok(TimelineAnswer {
        events: vec![event.clone()],
    }));
    let bytes = codec::encode(&sent).unwrap();
    assert_eq!(codec::decode_reply::<TimelineAnswer>(&bytes).unwrap(), sent);
    let json = serde_json::to_string(&event).unwrap();
    assert_eq!(serde_json::from_str::<Event>(&json).unwrap(), event);
}
