//! Messages that run one step of an attempt through the stages of a model.
//!
//! An attempt is one try to run a request through a chain of stages, each of which holds a range of
//! the model's layers. A step runs one or more positions of the sequence and yields the next token.

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

/// One stage of a chain: the agent that runs it and its layers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChainStage {
    /// The address at which the agent accepts messages.
    pub addr: SocketAddr,
    /// The incarnation of the agent for which the chain was chosen; zero means any.
    pub incarnation: Incarnation,
    /// The layers that the stage runs.
    pub layers: Layers,
}

/// The parameters of an attempt, sent with its first step only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptParams {
    /// The stages in layer order; together they run every layer exactly once.
    pub chain: Vec<ChainStage>,
    /// The model.
    pub model: String,
    /// The digest of the request content, to find contents that kill backend servers.
    pub fingerprint: Fingerprint,
    /// The priority in the engines' queues; higher runs first.
    pub priority: u8,
    /// The time left for the whole request, in milliseconds.
    pub deadline_ms: u64,
}

/// The input of a stage in one step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Input {
    /// Tokens, one per position, for the first stage.
    Tokens(Vec<u32>),
    /// Activations, one value per position, for the later stages.
    #[serde(rename = "Acts")]
    Activations(Vec<u64>),
}

impl Input {
    /// Returns the number of positions.
    pub fn len(&self) -> usize {
        match self {
            Input::Tokens(t) => t.len(),
            Input::Activations(a) => a.len(),
        }
    }

    /// Returns whether the input holds no positions.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Runs positions of one attempt through this stage and all later ones.
///
/// A stage accepts only the next position of the newest epoch. A repeat of the last step is
/// answered from its stored output; any other step is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt; a later attempt of the request has a higher epoch.
    pub epoch: Epoch,
    /// The index of the receiver in the chain.
    pub stage: u32,
    /// The position of the first element of the input.
    pub pos: u32,
    /// The tokens or activations.
    pub input: Input,
    /// The parameters of the attempt; `Some` only in its first step.
    pub params: Option<AttemptParams>,
    /// The time left for this step, in milliseconds.
    pub limit_ms: u32,
}

/// The result of a step: the next token, as the last stage computed it.
#[derive(Clone, Debug, PartialEq)]
pub struct Output {
    /// The token after the last position of the step.
    pub token: u32,
    /// The position of the token.
    pub pos: u32,
    /// Load reports of the stages that were due to send one, with their index in the chain.
    pub loads: Vec<(u32, Load)>,
}

impl Message for Step {
    const PATH: &'static str = "/x/v1/step";
    type Answer = Output;
}

/// Ends every attempt of a request up to and including an epoch.
///
/// The agent remembers the epoch for some time and refuses late steps of these attempts.
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

// A step is sent for every token, so its encoding is fixed by hand: an array of seven elements
// without field names, in the order of the struct.
impl Serialize for Step {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        let mut t = s.serialize_tuple(STEP_FIELDS)?;
        t.serialize_element(&self.request)?;
        t.serialize_element(&self.epoch)?;
        t.serialize_element(&self.stage)?;
        t.serialize_element(&self.pos)?;
        t.serialize_element(&self.input)?;
        t.serialize_element(&self.params)?;
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
            params: element(&mut seq, 5, &self)?,
            limit_ms: element(&mut seq, 6, &self)?,
        })
    }
}

// An output is encoded as an array of three elements: token, position, load reports.
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
