//! The shape of a deployment: its numbers of shards and of groups per failure
//! domain, which must be the same in all processes.
//!
//! Jobs are hashed to shards and racks to groups, so processes with different
//! numbers would look for the same job in different places. The first process
//! writes the numbers to the store; a process whose settings differ does not
//! start.

use std::time::Duration;

use eyre::{WrapErr as _, bail, eyre};
use mustardcove_core::{
    ownership::record::{decode_record, encode_record},
    store::{Expect, StoreError, StoreOp, StoreReply},
};
use mustardcove_platform::Store;
use serde::{Deserialize, Serialize};

/// Store key of the shape.
const SHAPE_KEY: &str = "deployment/shape";

/// Delay between two attempts while the store is unavailable.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Numbers that never change while a deployment exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shape {
    /// The number of shards of the job ledger.
    pub shards: u16,
    /// The number of worker groups in each failure domain.
    pub slices: u16,
}

/// Writes the shape to the store, or verifies it if the store has one already.
/// Retries while the store is unavailable.
///
/// # Errors
///
/// Returns an error if the stored shape differs or cannot be read, or if the
/// store answers unexpectedly.
pub async fn write_or_verify<S: Store>(store: &S, shape: Shape) -> eyre::Result<()> {
    loop {
        let put = StoreOp::Put {
            key: SHAPE_KEY.to_owned(),
            value: encode_record(&shape),
            expect: Expect::Absent,
            lease: None,
        };
        match store.call(put).await {
            Ok(StoreReply::Written { .. }) => return Ok(()),
            Err(StoreError::Conflict { current }) => {
                let stored = current.and_then(|it| decode_record::<Shape>(&it.value));
                return verify(stored, shape).wrap_err(SHAPE_KEY);
            }
            Err(StoreError::Unavailable { .. }) => tokio::time::sleep(RETRY_DELAY).await,
            other => bail!("unexpected answer of the store: {other:?}"),
        }
    }
}

fn verify(stored: Option<Shape>, own: Shape) -> eyre::Result<()> {
    let stored = stored.ok_or_else(|| eyre!("the record cannot be read"))?;
    if stored == own {
        return Ok(());
    }
    bail!(
        "the deployment has {} shards and {} groups per failure domain, the settings say {} and {}",
        stored.shards,
        stored.slices,
        own.shards,
        own.slices
    )
}
