//! The shape of a deployment: numbers that all processes must agree on.
//!
//! Jobs are hashed to shards and racks to groups, so processes that disagree
//! on the numbers would look for the same job in different places. The first
//! process writes the numbers; a process whose settings differ does not start.

use std::time::Duration;

use eyre::{WrapErr as _, bail, eyre};
use mustardcove_core::{
    ownership::record::{decode_record, encode_record},
    store::{Expect, StoreError, StoreOp, StoreReply},
};
use mustardcove_platform::Store;
use serde::{Deserialize, Serialize};

/// Key of the shape.
const SHAPE_KEY: &str = "deployment/shape";

/// Time between two attempts while the store does not answer.
const RETRY: Duration = Duration::from_millis(500);

/// Numbers that are fixed for the life of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shape {
    /// The number of shards of the job ledger.
    pub shards: u16,
    /// The number of worker groups in each failure domain.
    pub slices: u16,
}

/// Writes the shape if there is none, and compares it otherwise. Waits while
/// the store does not answer.
///
/// # Errors
///
/// Returns an error if the deployment has another shape.
pub async fn agree<S: Store>(store: &S, shape: Shape) -> eyre::Result<()> {
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
                let found = current.and_then(|it| decode_record::<Shape>(&it.value));
                return compare(found, shape).wrap_err(SHAPE_KEY);
            }
            Err(StoreError::Unavailable { .. }) => tokio::time::sleep(RETRY).await,
            other => bail!("unexpected answer of the store: {other:?}"),
        }
    }
}

fn compare(found: Option<Shape>, own: Shape) -> eyre::Result<()> {
    let found = found.ok_or_else(|| eyre!("the record cannot be read"))?;
    if found == own {
        return Ok(());
    }
    bail!(
        "the deployment has {} shards and {} groups per failure domain, the settings say {} and {}",
        found.shards,
        found.slices,
        own.shards,
        own.slices
    )
}
