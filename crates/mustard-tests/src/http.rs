//! A blocking HTTP client.

use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;
use ureq::http::{Request, Response};
use ureq::{Agent, Body};

use crate::errors::Result;

const LIMIT: Duration = Duration::from_secs(90);

/// An HTTP exchange to be made.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The receiver.
    pub to: SocketAddr,
    /// The method.
    pub method: &'static str,
    /// The path with its query.
    pub path: String,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: String,
}

impl Ask {
    /// Describes a read.
    pub fn get(to: SocketAddr, path: impl Into<String>) -> Self {
        Ask {
            to,
            method: "GET",
            path: path.into(),
            headers: Vec::new(),
            body: String::new(),
        }
    }

    /// Describes a `POST` of JSON.
    pub fn post(to: SocketAddr, path: impl Into<String>, body: impl Into<String>) -> Self {
        Ask {
            method: "POST",
            body: body.into(),
            ..Ask::get(to, path)
        }
        .with("content-type", "application/json")
    }

    /// Adds a header.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Adds a bearer key.
    #[must_use]
    pub fn bearer(self, key: &str) -> Self {
        self.with("authorization", format!("Bearer {key}"))
    }

    /// Sends the request and returns the answer with its body still to be read.
    pub fn open(&self) -> Result<Response<Body>> {
        let agent: Agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(LIMIT))
            .max_idle_connections(0)
            .build()
            .into();
        let url = format!("http://{}{}", self.to, self.path);
        let mut request = Request::builder().method(self.method).uri(url);
        for (name, value) in &self.headers {
            request = request.header(*name, value);
        }
        let request = request.body(self.body.clone()).map_err(ureq::Error::from)?;
        Ok(agent.run(request)?)
    }

    /// Sends the request and reads the whole answer.
    pub fn send(&self) -> Result<Answer> {
        let mut response = self.open()?;
        let headers = response.headers().clone();
        Ok(Answer {
            status: response.status().as_u16(),
            headers,
            body: response.body_mut().read_to_string()?,
        })
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: ureq::http::HeaderMap,
    /// The body as text.
    pub body: String,
}

impl Answer {
    /// Tells whether the answer is favourable: 201 from the call itself, 200 from a read of
    /// what was booked.
    pub fn is_done(&self) -> bool {
        matches!(self.status, 200 | 201)
    }

    /// Decodes the body.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        Ok(serde_json::from_str(&self.body)?)
    }

    /// Returns the member `outcome` of a refusal.
    pub fn outcome(&self) -> Option<String> {
        let problem: serde_json::Value = self.json().ok()?;
        problem["outcome"].as_str().map(ToOwned::to_owned)
    }
}
