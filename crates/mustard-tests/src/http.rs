//! A blocking HTTP client.

use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;
use ureq::http::{Request, Response};
use ureq::{Agent, Body};

use crate::errors::Result;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(90);

/// An HTTP request to send.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// The address of the server.
    pub to: SocketAddr,
    /// The method.
    pub method: &'static str,
    /// The path with its query.
    pub path: String,
    /// The headers, in the order of sending.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: String,
}

impl HttpRequest {
    /// Creates a `GET` request.
    pub fn get(to: SocketAddr, path: impl Into<String>) -> Self {
        HttpRequest {
            to,
            method: "GET",
            path: path.into(),
            headers: Vec::new(),
            body: String::new(),
        }
    }

    /// Creates a `POST` request with a JSON body.
    pub fn post(to: SocketAddr, path: impl Into<String>, body: impl Into<String>) -> Self {
        HttpRequest {
            method: "POST",
            body: body.into(),
            ..HttpRequest::get(to, path)
        }
        .header("content-type", "application/json")
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Adds a bearer key as the `authorization` header.
    #[must_use]
    pub fn bearer(self, key: &str) -> Self {
        self.header("authorization", format!("Bearer {key}"))
    }

    /// Sends the request and returns the response before its body is read.
    pub fn open_response(&self) -> Result<Response<Body>> {
        let agent: Agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(REQUEST_TIMEOUT))
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

    /// Sends the request and reads the response to its end.
    pub fn send(&self) -> Result<Answer> {
        let mut response = self.open_response()?;
        let headers = response.headers().clone();
        Ok(Answer {
            status: response.status().as_u16(),
            headers,
            body: response.body_mut().read_to_string()?,
        })
    }
}

/// A response that was read to its end.
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
    /// Tells whether a booking succeeded: 201 from the call itself, 200 from a read of the
    /// booking.
    pub fn is_done(&self) -> bool {
        matches!(self.status, 200 | 201)
    }

    /// Decodes the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        Ok(serde_json::from_str(&self.body)?)
    }

    /// Returns the field `outcome` of a refusal; `None` if the body has none.
    pub fn outcome(&self) -> Option<String> {
        let problem: serde_json::Value = self.json().ok()?;
        problem["outcome"].as_str().map(ToOwned::to_owned)
    }
}
