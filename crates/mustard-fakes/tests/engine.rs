//! Tests of the stand-in engine against the reference output.
#![allow(clippy::unwrap_used)]

use bolero::{TypeGenerator, check};
use clap::Parser;
use ntex::http::Method;
use ntex::util::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use mustard_backend::engine::{KvCache, LoadOrder, LoadedLayers, StepOutput, StepRequest};
use mustard_backend::http::EngineRefusal;
use mustard_core::ids::{Fence, Layers};
use mustard_fakes::engine::{Engine, EngineFlags, Ledger};
use mustard_fakes::reference;
use mustard_fakes::serve::{Answer, Call, StandIn};
use mustard_proto::step::Input;

const LAYERS: u32 = 5;

fn new_engine(layers: &str) -> Engine {
    let total = LAYERS.to_string();
    let flags = [
        "fake-engine",
        "--model",
        "m",
        "--layers",
        layers,
        "--total-layers",
        &total,
        "--step-us",
        "0",
        "--position-us",
        "0",
    ];
    Engine::new(EngineFlags::parse_from(flags))
}

fn call_engine(engine: &Engine, method: Method, path: &str, body: &impl Serialize) -> Answer {
    let call = Call {
        method,
        path: path.to_owned(),
        query: String::new(),
        reference: None,
        body: Bytes::from(serde_json::to_vec(body).unwrap()),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .unwrap();
    runtime.block_on(engine.answer(call))
}

fn decode<T: DeserializeOwned>(answer: &Answer) -> T {
    serde_json::from_slice(&answer.body).unwrap()
}

fn call_step(engine: &Engine, pos: u32, input: Input) -> Answer {
    let model = "m".to_owned();
    let body = StepRequest {
        model,
        pos,
        priority: 0,
        input,
    };
    call_engine(engine, Method::POST, "/v1/sequences/s/step", &body)
}

/// Runs tokens through the engines of a chain in order; returns the token of the last one.
fn run_chain(chain: &[Engine], pos: u32, tokens: &[u32]) -> u32 {
    let mut input = Input::Tokens(tokens.to_vec());
    for engine in chain {
        match decode(&call_step(engine, pos, input)) {
            StepOutput::Token(token) => return token,
            StepOutput::Activations(acts) => input = Input::Activations(acts),
        }
    }
    panic!("the last engine has to yield a token");
}

#[derive(Clone, Debug, TypeGenerator)]
struct Case {
    prompt: [u16; 6],
    // Positions of the first step; the rest of the prompt, if any, is the second step.
    #[generator(1..6usize)]
    split: usize,
    // The first layer of the second engine.
    #[generator(1..5u32)]
    cut: u32,
    // Whether another engine takes over from the second one after the first step.
    moved: bool,
}

#[test]
fn generate_chain_equals_reference() {
    check!().with_type::<Case>().for_each(|case| {
        let prompt: Vec<u32> = case.prompt.iter().map(|t| u32::from(*t)).collect();
        let second = format!("{}..{LAYERS}", case.cut);
        let mut chain = [new_engine(&format!("0..{}", case.cut)), new_engine(&second)];
        let (head, tail) = prompt.split_at(case.split);
        let mut token = run_chain(&chain, 0, head);
        if case.moved {
            let cache: KvCache = decode(&call_engine(
                &chain[1],
                Method::GET,
                "/v1/sequences/s/kv",
                &(),
            ));
            chain[1] = new_engine(&second);
            let imported = call_engine(&chain[1], Method::PUT, "/v1/sequences/s/kv", &cache);
            assert_eq!(imported.status, 200);
        }
        if !tail.is_empty() {
            token = run_chain(&chain, head.len() as u32, tail);
        }
        let next = run_chain(&chain, prompt.len() as u32, &[token]);
        assert_eq!(
            [token, next].as_slice(),
            reference::expected_tokens(LAYERS, &prompt, 2)
        );
    });
}

#[test]
fn step_out_of_order_refused_and_recorded() {
    let engine = new_engine("0..5");
    call_step(&engine, 0, Input::Tokens(vec![1, 2]));
    for pos in [0, 1, 3] {
        let refused = call_step(&engine, pos, Input::Tokens(vec![1]));
        assert_eq!(refused.status, 409);
        assert_eq!(decode::<EngineRefusal>(&refused).position, Some(2));
    }
    let ledger: Ledger = decode(&call_engine(&engine, Method::GET, "/ledger", &()));
    assert_eq!((ledger.positions, ledger.refused), (2, 3));
}

#[test]
fn order_old_fence_refused() {
    let engine = new_engine("0..5");
    let order = |fence| LoadOrder {
        fence: Fence(fence),
        model: "n".to_owned(),
        version: "2".to_owned(),
        layers: Layers::new(0, 2),
    };
    let held: LoadedLayers = decode(&call_engine(&engine, Method::POST, "/v1/orders", &order(7)));
    assert_eq!((held.model.as_str(), held.fence), ("n", Some(Fence(7))));
    let refused = call_engine(&engine, Method::POST, "/v1/orders", &order(6));
    assert_eq!(decode::<EngineRefusal>(&refused).fence, Some(Fence(7)));
}
