//! Support code shared by the tests of the entry process.
#![allow(dead_code, unreachable_pub, missing_docs)]

#[path = "harness.rs"]
pub mod harness;
#[path = "shards.rs"]
pub mod shards;
#[path = "upstream.rs"]
pub mod upstream;
