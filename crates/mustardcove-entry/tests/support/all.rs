//! What the tests of the entry process share.
#![allow(dead_code, unreachable_pub, missing_docs)]

#[path = "rig.rs"]
pub mod rig;
#[path = "shards.rs"]
pub mod shards;
#[path = "upstream.rs"]
pub mod upstream;
