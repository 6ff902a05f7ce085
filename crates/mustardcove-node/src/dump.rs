//! State dump of the process for operators.

use std::sync::Arc;

use mustardcove_runtime::dump::{Dump, DumpSource};

use crate::{readiness, shared::Shared};

/// The source of this process's state dumps.
#[derive(Clone, Debug)]
pub struct NodeDumps {
    shared: Arc<Shared>,
}

impl NodeDumps {
    /// Returns the source for the process with this shared state.
    pub fn new(shared: Arc<Shared>) -> NodeDumps {
        NodeDumps { shared }
    }
}

impl DumpSource for NodeDumps {
    async fn dump(&self, limit: usize) -> Dump {
        let shared = &self.shared;
        let leadership = shared.leadership.borrow().clone();
        let mut dump = Dump::new(limit);
        dump.add_value("process", &shared.process);
        dump.add_value("term", &leadership.term);
        dump.add_value("leader", &leadership.leader);
        dump.add_value("manifest", &shared.manifest_version());
        dump.add_value("is_ready", &readiness::is_ready(shared));
        dump.add_value("reaches_store", &shared.reaches_store());
        dump.add_value("may_extend_leases", &shared.may_extend_leases(leadership.term));
        dump.add_value("known_submissions", &shared.states().len());
        dump.add_value("unconfirmed_by_leader", &!shared.outbox.is_empty());
        let evacuations = shared.evacuations().clone();
        let now = shared.now();
        dump.add_value("evacuations_as_of", &evacuations.list.as_of);
        let rows = evacuations.since.into_iter();
        let rows = rows.map(|it| format!("domain={} for_ms={}", it.0, now.ms_since(it.1)));
        dump.add_rows("evacuated_domains", rows);
        dump.add_rows("long_running_waits", shared.long_running_waits().clone());
        let interference = shared.interference().clone();
        dump.add_rows("interference_errors", interference.errors);
        dump.add_rows("reaching_store", shared.last_heartbeat().reaching_store.clone());
        dump.add_rows("peers", shared.peers.status().into_iter().map(|it| it.process));
        // Last, as pairs of images are many and a dump is limited in size.
        dump.add_rows("interference_pressures", interference.pressures);
        dump
    }
}
