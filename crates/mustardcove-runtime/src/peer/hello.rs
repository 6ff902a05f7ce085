//! The handshake, carried in the headers that open each lane.

use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use mustardcove_core::id::{ProcessId, RegionId};

use super::{
    config::PeerConfig,
    error::{PeerError, PeerErrorKind},
    lane::LaneKind,
};

const VERSION: &str = "x-peer-version";
const PROCESS: &str = "x-peer-process";
const REGION: &str = "x-peer-region";
/// The process for which a lane is opened.
const TO: &str = "x-peer-to";

/// Identity and protocol version of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Hello {
    pub(super) version: u32,
    pub(super) process: ProcessId,
    pub(super) region: RegionId,
}

impl Hello {
    pub(super) fn from_config(config: &PeerConfig) -> Hello {
        Hello {
            version: config.protocol_version,
            process: config.process.clone(),
            region: config.region.clone(),
        }
    }

    fn write(&self, headers: &mut HeaderMap) {
        let text = |it: &str| HeaderValue::from_str(it).expect("names are visible ASCII");
        headers.insert(VERSION, self.version.into());
        headers.insert(PROCESS, text(self.process.as_str()));
        headers.insert(REGION, text(self.region.as_str()));
    }

    fn read(headers: &HeaderMap) -> Option<Hello> {
        let text = |name| headers.get(name)?.to_str().ok();
        Some(Hello {
            version: text(VERSION)?.parse().ok()?,
            process: text(PROCESS)?.parse().ok()?,
            region: text(REGION)?.parse().ok()?,
        })
    }
}

/// Returns the request that opens a lane to a process.
pub(super) fn request(hello: &Hello, to: &ProcessId, lane: LaneKind) -> Request<()> {
    let mut req = Request::new(());
    *req.method_mut() = http::Method::POST;
    *req.uri_mut() = format!("http://peer/{}", lane.name()).parse().expect("a valid URI");
    hello.write(req.headers_mut());
    let to = HeaderValue::from_str(to.as_str()).expect("names are visible ASCII");
    req.headers_mut().insert(TO, to);
    req
}

/// Parses the request that opens a lane, or returns the response that refuses
/// it.
pub(super) fn read_request(
    own: &Hello,
    req: &Request<impl Sized>,
) -> Result<(Hello, LaneKind), Box<Response<()>>> {
    let refuse = |status| {
        let mut resp = Response::new(());
        *resp.status_mut() = status;
        own.write(resp.headers_mut());
        Box::new(resp)
    };
    let lane = LaneKind::from_name(req.uri().path().trim_start_matches('/'));
    let lane = lane.ok_or_else(|| refuse(StatusCode::NOT_FOUND))?;
    let hello = Hello::read(req.headers()).ok_or_else(|| refuse(StatusCode::BAD_REQUEST))?;
    if hello.version != own.version {
        return Err(refuse(StatusCode::UPGRADE_REQUIRED));
    }
    // A connection to an earlier process at this address is not one to this process.
    let to = req.headers().get(TO).ok_or_else(|| refuse(StatusCode::BAD_REQUEST))?;
    if to.as_bytes() != own.process.as_str().as_bytes() {
        return Err(refuse(StatusCode::MISDIRECTED_REQUEST));
    }
    Ok((hello, lane))
}

/// Returns the response that accepts a lane.
pub(super) fn response(own: &Hello) -> Response<()> {
    let mut resp = Response::new(());
    own.write(resp.headers_mut());
    resp
}

/// Checks the response to a request that opens a lane.
pub(super) fn check_response(
    own: &Hello,
    expected: &ProcessId,
    resp: &Response<impl Sized>,
) -> Result<(), PeerError> {
    let error = |detail| Err(PeerError::new(PeerErrorKind::Unreachable, detail));
    let Some(hello) = Hello::read(resp.headers()) else {
        return error(format!("the peer answered {} without a handshake", resp.status()));
    };
    if hello.version != own.version {
        return error(format!("the peer speaks version {}, not {}", hello.version, own.version));
    }
    // A restarted process has a new id. Messages to its predecessor must not
    // reach it.
    if hello.process != *expected {
        return error(format!("the address belongs to process {} now", hello.process));
    }
    if resp.status() != StatusCode::OK {
        return error(format!("the peer answered {}", resp.status()));
    }
    Ok(())
}
