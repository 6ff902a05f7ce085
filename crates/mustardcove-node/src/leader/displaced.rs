//! Sends what a displaced leader knows of leases to its successor; see
//! [`handover`](mustardcove_core::fleet::handover).
//!
//! A record in the store would be refused, since another process leads. Messages may
//! be lost while connections are replaced, and the successor may not handle any yet,
//! so they are sent again until it acknowledges them or knows of no use for them: the
//! leases that they tell of are over after a while.

use std::{sync::Arc, time::Duration};

use mustardcove_core::{
    fleet::{
        handover::{HandoverOutcome, KnownLeases},
        id::Term,
        message::FleetMessage,
    },
    id::ProcessId,
    time::{ClockShift, Timestamp},
};
use slog::{debug, info, warn};
use tokio::sync::mpsc;

use super::{Leader, LeaderInput, TermEnd};
use crate::shared::{Leadership, Shared};

/// Pause after the first message, which doubles with each further one. A message is
/// about 35 KB for 350 workers.
const FIRST_RESEND_PAUSE: Duration = Duration::from_millis(150);
/// Time from the end of the term from which on nothing is sent: then all leases are
/// almost over, and the successor gains nothing by knowing when.
const TELL_TIME: Duration = Duration::from_millis(4_000);

impl Leader {
    /// Ends a term that another process has ended by its claim. Nothing is ordered
    /// or confirmed from now on.
    pub(super) fn displaced(
        &mut self,
        why: &'static str,
        inputs: &mut mpsc::Receiver<LeaderInput>,
    ) -> TermEnd {
        self.learn_queued(inputs);
        let handover = if self.tell_successor() {
            HandoverOutcome::TellingSuccessor
        } else {
            HandoverOutcome::Superseded
        };
        TermEnd { why, handover }
    }

    /// Handles what is queued of leases of earlier leaders, which also helps the
    /// successor, and drops other inputs.
    pub(super) fn learn_queued(&mut self, inputs: &mut mpsc::Receiver<LeaderInput>) {
        while let Ok(input) = inputs.try_recv() {
            if let LeaderInput::Message { from, message, received_at } = input {
                self.handle_lease_message(&from, *message, received_at);
            }
        }
    }

    /// Begins to tell the successor what this leader knows of leases. Returns whether
    /// it knows anything.
    pub(super) fn tell_successor(&self) -> bool {
        let workers = self.planner.displaced(self.shared.now(), |it| self.pollers.poller_id(it));
        let is_known = !workers.is_empty();
        if is_known {
            let named = self.successor.clone();
            tokio::spawn(tell(self.shared.clone(), self.term, named, workers));
        }
        is_known
    }

    /// Handles a message about leases of earlier leaders. Returns any other message.
    pub(super) fn handle_lease_message(
        &mut self,
        from: &ProcessId,
        message: FleetMessage,
        received_at: Timestamp,
    ) -> Option<FleetMessage> {
        match message {
            FleetMessage::EarlierLeases { term, earlier, stepped_down_at, sent_at, workers } => {
                if term == self.term {
                    let shift = ClockShift::new(sent_at, received_at);
                    if let Some(at) = stepped_down_at.filter(|_| earlier == self.predecessor) {
                        self.inherited_before(shift.to_local(at));
                    }
                    self.earlier_leases_reported(from, earlier, shift, &workers);
                }
                None
            }
            FleetMessage::LeaderDisplaced { term, sent_at, workers } => {
                let shift = ClockShift::new(sent_at, received_at);
                self.leader_displaced(from, term, shift, workers);
                None
            }
            other => Some(other),
        }
    }

    /// Handles what a leader that was displaced knows of leases.
    fn leader_displaced(
        &mut self,
        from: &ProcessId,
        term: Term,
        shift: ClockShift,
        workers: Vec<KnownLeases>,
    ) {
        self.shared.send(from, FleetMessage::LeasesLearned { term });
        if term != self.predecessor {
            // A leader in between may have extended leases.
            debug!(self.shared.log, "leases of another term"; "from" => %from, "of" => %term,
                "term" => %self.term);
            return;
        }
        let told = workers.len();
        let workers: Vec<KnownLeases> = workers.into_iter().map(|it| it.to_local(shift)).collect();
        let silent = workers.iter().filter(|it| it.silent_since.is_some()).count();
        let learned = self.planner.learn_leases(workers);
        let ends = self.planner.earlier_lease_ends();
        info!(self.shared.log, "leases learned"; "term" => %self.term, "from" => %from,
            "of" => %term, "workers" => told, "silent" => silent, "earlier" => learned,
            "ends_known" => ends.known, "ends_unknown" => ends.unknown);
    }
}

/// Tells the successor of a term until it acknowledges that. It is the process whose
/// heartbeat has arrived, or before one has, that which the leader record names.
async fn tell(
    shared: Arc<Shared>,
    term: Term,
    named: Option<ProcessId>,
    workers: Vec<KnownLeases>,
) {
    let mut leadership = shared.leadership.subscribe();
    let mut learned = shared.leases_learned.subscribe();
    let mut sent = 0;
    let send = async {
        let mut pause = FIRST_RESEND_PAUSE;
        loop {
            let heard = leadership.borrow_and_update().clone();
            let heard = Some(heard).filter(|it| term < it.term).and_then(|it| it.leader);
            if let Some(successor) = heard.as_ref().or(named.as_ref()) {
                let (workers, sent_at) = (workers.clone(), shared.now());
                let message = FleetMessage::LeaderDisplaced { term, sent_at, workers };
                shared.send(successor, message);
                sent += 1;
            }
            let is_heard = |it: &Leadership| term < it.term && it.leader.is_some();
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                Ok(_) = leadership.wait_for(is_heard), if heard.is_none() => {}
            }
            pause *= 2;
        }
    };
    let is_learned = tokio::select! {
        is_learned = learned.wait_for(|it| term <= *it) => is_learned.is_ok(),
        () = send => false,
        () = tokio::time::sleep(TELL_TIME) => false,
    };
    if is_learned {
        info!(shared.log, "successor knows of the leases"; "term" => %term,
            "workers" => workers.len(), "messages" => sent);
    } else {
        warn!(shared.log, "successor not told of the leases"; "term" => %term,
            "workers" => workers.len(), "messages" => sent);
    }
}
