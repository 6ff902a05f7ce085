//! Authentication of members and operators by bearer token.
//!
//! The agreement holds SHA-256 digests of tokens, so neither the store nor a
//! dump reveals a token. Every digest is compared, each in constant time,
//! even after a match, so that the time taken reveals nothing about the digests.

use http::{HeaderMap, StatusCode, header::AUTHORIZATION};
use mustardcove_core::{
    agreement::Agreement,
    id::MemberId,
    verdict::{Refusal, RefusalReason},
};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::refusal::ApiRefusal;

/// Longest token accepted, in bytes.
const MAX_TOKEN_BYTES: usize = 1024;

/// Length of a SHA-256 digest, in bytes.
const DIGEST_BYTES: usize = 32;

const NO_TOKEN: &str = "the request carries no bearer token";

/// Digests of the members' tokens, with the member of each.
#[derive(Clone, Default)]
pub struct TokenTable {
    digests: Vec<([u8; DIGEST_BYTES], MemberId)>,
}

impl TokenTable {
    /// Returns the table of an agreement; digests that are not 64 hexadecimal
    /// digits match no token.
    pub fn new(agreement: &Agreement) -> TokenTable {
        let members = agreement.members.values();
        let digests = members.flat_map(|member| {
            let digests = member.token_digests.iter().filter_map(|it| parse_digest(it));
            digests.map(|it| (it, member.id.clone()))
        });
        TokenTable { digests: digests.collect() }
    }

    /// Returns the member whose token the headers carry.
    ///
    /// # Errors
    ///
    /// Returns a refusal with status 401 that does not repeat the token.
    pub fn authenticate(&self, headers: &HeaderMap) -> Result<MemberId, ApiRefusal> {
        let Some(token) = bearer_token(headers) else {
            return Err(unauthenticated(NO_TOKEN));
        };
        let digest: [u8; DIGEST_BYTES] = Sha256::digest(token).into();
        let mut found = None;
        for (known, member) in &self.digests {
            if bool::from(known.ct_eq(&digest)) {
                found = Some(member);
            }
        }
        found.cloned().ok_or_else(|| unauthenticated("the bearer token belongs to no member"))
    }
}

/// Digests of the operators' tokens.
#[derive(Clone, Default)]
pub struct OperatorTokens {
    digests: Vec<[u8; DIGEST_BYTES]>,
}

impl OperatorTokens {
    /// Returns the digests listed in a setting, separated by commas.
    ///
    /// # Errors
    ///
    /// Returns the position of the first digest that is not 64 hexadecimal
    /// digits.
    pub fn parse(text: &str) -> Result<OperatorTokens, usize> {
        let mut digests = Vec::new();
        let listed = text.split(',').map(str::trim).filter(|it| !it.is_empty());
        for (position, digest) in listed.enumerate() {
            digests.push(parse_digest(digest).ok_or(position)?);
        }
        Ok(OperatorTokens { digests })
    }

    /// Checks that the headers carry an operator's token.
    ///
    /// # Errors
    ///
    /// Returns a refusal with status 401 that does not repeat the token.
    pub fn authenticate(&self, headers: &HeaderMap) -> Result<(), ApiRefusal> {
        let token = bearer_token(headers).ok_or_else(|| unauthenticated(NO_TOKEN))?;
        let digest: [u8; DIGEST_BYTES] = Sha256::digest(token).into();
        let mut found = false;
        for known in &self.digests {
            found |= bool::from(known.ct_eq(&digest));
        }
        if found { Ok(()) } else { Err(unauthenticated("the bearer token is no operator's")) }
    }
}

fn bearer_token(headers: &HeaderMap) -> Option<&[u8]> {
    let value = headers.get(AUTHORIZATION)?.as_bytes();
    let (scheme, token) = value.split_at_checked(7)?;
    let valid = scheme.eq_ignore_ascii_case(b"bearer ")
        && !token.is_empty()
        && token.len() <= MAX_TOKEN_BYTES;
    valid.then_some(token)
}

fn unauthenticated(detail: &str) -> ApiRefusal {
    let refusal = Refusal::not_run(RefusalReason::Forbidden, detail);
    ApiRefusal::with_status(refusal, StatusCode::UNAUTHORIZED)
}

fn parse_digest(text: &str) -> Option<[u8; DIGEST_BYTES]> {
    if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
        return None;
    }
    let mut digest = [0; DIGEST_BYTES];
    for (at, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * at..2 * at + 2], 16).ok()?;
    }
    Some(digest)
}
