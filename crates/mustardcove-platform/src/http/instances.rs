//! Client of the instance list over HTTP/JSON.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use mustardcove_core::time::Timestamp;

use super::client::{HttpClient, HttpLimits};
use crate::{
    clock::Clock,
    instances::{InstanceList, InstanceSnapshot, ListError},
    wire,
};

/// Path of the instance list.
pub const INSTANCES_PATH: &str = "/v1/instances";

/// A client of the platform's instance list.
#[derive(Clone, Debug)]
pub struct HttpInstances {
    client: HttpClient,
    uri: String,
}

impl HttpInstances {
    /// Returns a client of the list at `address` (IP number and port).
    pub fn new(clock: Clock, address: &str, limits: HttpLimits) -> HttpInstances {
        let uri = format!("http://{address}{INSTANCES_PATH}");
        HttpInstances { client: HttpClient::new(clock, limits), uri }
    }
}

impl InstanceList for HttpInstances {
    async fn fetch(&self) -> Result<InstanceSnapshot, ListError> {
        let body = Bytes::from_static(b"{}");
        let answer = self.client.post(&self.uri, body, Timestamp::MAX, Duration::ZERO).await;
        let answer = answer.map_err(|it| ListError::new(it.to_string()))?;
        if answer.status != StatusCode::OK {
            return Err(ListError::new(format!("status {}", answer.status)));
        }
        wire::from_json(&answer.body).map_err(|it| ListError::new(it.to_string()))
    }
}
