//! Answers questions about submissions from the plan.

use std::sync::Arc;

use mustardcove_core::{
    fleet::{
        explanation::{PlanAge, Question, Reply},
        message::FleetMessage,
    },
    id::ProcessId,
    time::Timestamp,
};

use super::Leader;

/// Shortest time between two explanations, in milliseconds: each costs the
/// leader as much as several plans, since it copies the state.
const EXPLAIN_INTERVAL_MS: u64 = 500;

impl Leader {
    /// Answers a question about a submission. It changes nothing but the time
    /// from which the next one is answered.
    pub(super) fn explain(
        &mut self,
        from: &ProcessId,
        request: u64,
        question: Question,
        now: Timestamp,
    ) {
        let reply = if now < self.explain_at {
            Reply::Busy
        } else {
            self.explain_at = now.plus_ms(EXPLAIN_INTERVAL_MS);
            self.reply(question, now)
        };
        self.shared.send(from, FleetMessage::Explained { request, reply });
    }

    fn reply(&self, question: Question, now: Timestamp) -> Reply {
        let explanation = match question {
            Question::New(mut submission) => {
                // The asking process has another clock.
                Arc::make_mut(&mut submission).accepted_at = now;
                Some(self.planner.explain_new(submission, now))
            }
            Question::Known(id) => self.planner.explain_known(id, now),
        };
        let Some(explanation) = explanation else { return Reply::Unknown };
        let age = PlanAge {
            confirmed_ms: self.confirmation_age_ms(),
            workers_listed_ms: now.ms_since(self.listed_at),
            oldest_poll_ms: self.planner.oldest_poll_ms(now),
        };
        Reply::Explained { term: self.term, age, explanation: Box::new(explanation) }
    }
}
