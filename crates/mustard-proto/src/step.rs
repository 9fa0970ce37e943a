//! Messages on a token's way: one step of one attempt through the stages.

use std::fmt;
use std::net::SocketAddr;

use serde::de::{self, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::{Epoch, Incarnation, Layers, RequestId};

use crate::agent::Load;
use crate::envelope::Message;

const STEP_FIELDS: usize = 7;
const OUTPUT_FIELDS: usize = 3;

/// One agent of a chain.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Hop {
    /// Where the agent takes messages.
    pub addr: SocketAddr,
    /// The life of the agent that the chain was chosen for.
    pub incarnation: Incarnation,
    /// The layers that the stage runs.
    pub layers: Layers,
}

/// What an attempt needs besides its steps; sent with its first step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Opening {
    /// The agents in layer order; together they hold every layer once.
    pub chain: Vec<Hop>,
    /// The model.
    pub model: String,
    /// The content of the request, to trace what harms servers.
    pub fingerprint: Fingerprint,
    /// The priority at the engines; higher goes first.
    pub priority: u8,
    /// The time left for the whole request, in milliseconds.
    pub deadline_ms: u64,
}

/// What a step feeds into a stage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Input {
    /// Tokens, for the first stage.
    Tokens(Vec<u32>),
    /// Activations, one per position, for a later stage.
    Acts(Vec<u64>),
}

impl Input {
    /// Returns the number of positions.
    pub fn len(&self) -> usize {
        match self {
            Input::Tokens(t) => t.len(),
            Input::Acts(a) => a.len(),
        }
    }

    /// Tells whether the input holds no position.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Runs positions of one attempt through this stage and all later ones.
///
/// A stage takes only the next position of the newest epoch. It answers the last step again
/// from its kept output, and refuses any other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub epoch: Epoch,
    /// The place of the receiver in the chain.
    pub stage: u32,
    /// The position of the first element of the input.
    pub pos: u32,
    /// The input.
    pub input: Input,
    /// The opening, with the first step of an attempt only.
    pub opening: Option<Opening>,
    /// The time left for this step, in milliseconds.
    pub limit_ms: u32,
}

/// What the last stage made of a step.
#[derive(Clone, Debug, PartialEq)]
pub struct Output {
    /// The token after the last position of the step.
    pub token: u32,
    /// The position that the token takes.
    pub pos: u32,
    /// Load reports of the stages that had news, by place in the chain.
    pub loads: Vec<(u32, Load)>,
}

impl Message for Step {
    const PATH: &'static str = "/x/v1/step";
    type Answer = Output;
}

/// Ends every attempt of a request up to an epoch.
///
/// The agent remembers the epoch, so a step that arrives later is refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// The request.
    pub request: RequestId,
    /// The newest attempt to end.
    pub epoch: Epoch,
}

impl Message for Cancel {
    const PATH: &'static str = "/x/v1/cancel";
    type Answer = ();
}

// A step is written for every token, so its form is fixed here: an array of seven elements
// without field names, in the order of the struct.
impl Serialize for Step {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        let mut t = s.serialize_tuple(STEP_FIELDS)?;
        t.serialize_element(&self.request)?;
        t.serialize_element(&self.epoch)?;
        t.serialize_element(&self.stage)?;
        t.serialize_element(&self.pos)?;
        t.serialize_element(&self.input)?;
        t.serialize_element(&self.opening)?;
        t.serialize_element(&self.limit_ms)?;
        t.end()
    }
}

impl<'de> Deserialize<'de> for Step {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_tuple(STEP_FIELDS, StepVisitor)
    }
}

struct StepVisitor;

impl<'de> Visitor<'de> for StepVisitor {
    type Value = Step;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a step of seven elements")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Step, A::Error> {
        Ok(Step {
            request: element(&mut seq, 0, &self)?,
            epoch: element(&mut seq, 1, &self)?,
            stage: element(&mut seq, 2, &self)?,
            pos: element(&mut seq, 3, &self)?,
            input: element(&mut seq, 4, &self)?,
            opening: element(&mut seq, 5, &self)?,
            limit_ms: element(&mut seq, 6, &self)?,
        })
    }
}

// An output is an array of three elements: token, position, load reports.
impl Serialize for Output {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        let mut t = s.serialize_tuple(OUTPUT_FIELDS)?;
        t.serialize_element(&self.token)?;
        t.serialize_element(&self.pos)?;
        t.serialize_element(&self.loads)?;
        t.end()
    }
}

impl<'de> Deserialize<'de> for Output {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_tuple(OUTPUT_FIELDS, OutputVisitor)
    }
}

struct OutputVisitor;

impl<'de> Visitor<'de> for OutputVisitor {
    type Value = Output;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an output of three elements")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Output, A::Error> {
        Ok(Output {
            token: element(&mut seq, 0, &self)?,
            pos: element(&mut seq, 1, &self)?,
            loads: element(&mut seq, 2, &self)?,
        })
    }
}

fn element<'de, A, T>(seq: &mut A, index: usize, expected: &dyn de::Expected) -> Result<T, A::Error>
where
    A: SeqAccess<'de>,
    T: Deserialize<'de>,
{
    seq.next_element()?
        .ok_or_else(|| de::Error::invalid_length(index, expected))
}
