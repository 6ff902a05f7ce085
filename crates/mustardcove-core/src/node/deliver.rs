//! Delivery of calls, answers and messages between the state machines of a
//! node, and between them and other processes.

use super::{CallOwner, Node, NodeAction, NodeCall, NodeChange, PolicyFactory, event::LocalEvent};
use crate::{
    group::{GroupAction, GroupEvent},
    id::{GroupId, ProcessId, RequestId, ShardId, WorkerId},
    message::{
        GroupSummary, GroupToShard, PeerMessage, ReserveRefusal, ShardRequest, ShardResponse,
        ShardToGroup,
    },
    ownership::{OwnershipAction, OwnershipEvent, ProcessKind},
    shard::{ShardAction, ShardEvent},
    store::StoreResult,
    time::Timestamp,
    worker::WorkerResult,
};

/// Time after which a reservation may be requested again from a group that this
/// process does not own, in milliseconds.
const NO_OWNER_RETRY_MS: u64 = 250;

impl<F: PolicyFactory> Node<F> {
    pub(super) fn store_reply(
        &mut self,
        now: Timestamp,
        call: NodeCall,
        result: StoreResult,
        out: &mut Vec<NodeAction>,
    ) {
        if !self.is_current(&call) {
            return;
        }
        let NodeCall { owner, call, .. } = call;
        match owner {
            CallOwner::Ownership => {
                let event = OwnershipEvent::StoreReply { call, result };
                self.ownership_event(now, event, out);
            }
            CallOwner::Shard(shard) => {
                self.shard_event(now, shard, ShardEvent::StoreReply { call, result }, out);
            }
            CallOwner::Group(group) => {
                self.group_event(now, &group, GroupEvent::StoreReply { call, result }, out);
            }
        }
    }

    pub(super) fn worker_reply(
        &mut self,
        now: Timestamp,
        call: NodeCall,
        worker: WorkerId,
        result: WorkerResult,
        out: &mut Vec<NodeAction>,
    ) {
        if !self.is_current(&call) {
            return;
        }
        if let CallOwner::Group(group) = call.owner {
            let event = GroupEvent::WorkerReply { worker, call: call.call, result };
            self.group_event(now, &group, event, out);
        }
    }

    fn is_current(&self, call: &NodeCall) -> bool {
        match &call.owner {
            CallOwner::Ownership => true,
            CallOwner::Shard(id) => {
                self.shards.get(id).is_some_and(|it| it.generation == call.generation)
            }
            CallOwner::Group(id) => {
                self.groups.get(id).is_some_and(|it| it.generation == call.generation)
            }
        }
    }

    pub(super) fn ownership_event(
        &mut self,
        now: Timestamp,
        event: OwnershipEvent,
        out: &mut Vec<NodeAction>,
    ) {
        let mut actions = Vec::new();
        self.ownership.handle(now, event, &mut actions);
        for action in actions {
            self.ownership_action(now, action, out);
        }
    }

    fn ownership_action(
        &mut self,
        now: Timestamp,
        action: OwnershipAction,
        out: &mut Vec<NodeAction>,
    ) {
        match action {
            OwnershipAction::Store { call, op } => {
                let call = NodeCall { owner: CallOwner::Ownership, generation: 0, call };
                out.push(NodeAction::Store { call, op });
            }
            OwnershipAction::ClaimDeadline(deadline) => {
                self.claim_deadline = deadline;
                let groups: Vec<GroupId> = self.groups.keys().cloned().collect();
                for group in groups {
                    self.group_event(now, &group, GroupEvent::ClaimDeadline(deadline), out);
                }
            }
            OwnershipAction::OpenShard(shard) => self.open_shard(now, shard, out),
            OwnershipAction::HandOverShard { shard, to } => {
                self.shard_event(now, shard, ShardEvent::HandOver { to }, out);
            }
            OwnershipAction::RequestShardHandover { shard, owner } => {
                self.send(owner, PeerMessage::ShardHandoverRequest { shard }, out);
            }
            OwnershipAction::NotifyShardReleased { shard, to } => {
                self.send(to, PeerMessage::ShardReleased { shard }, out);
            }
            OwnershipAction::OpenGroup { group, epoch } => {
                self.open_group(now, &group, epoch, out);
            }
            OwnershipAction::ReleaseGroup(group) => {
                self.group_event(now, &group, GroupEvent::Release, out);
            }
            OwnershipAction::DropGroup(group) => {
                self.groups.remove(&group);
                out.push(NodeAction::Changed(NodeChange::GroupClosed(group)));
            }
            OwnershipAction::ProcessEnded(process) => {
                let shards: Vec<ShardId> = self.shards.keys().copied().collect();
                for shard in shards {
                    let event = ShardEvent::ProcessEnded(process.clone());
                    self.shard_event(now, shard, event, out);
                }
                out.push(NodeAction::Changed(NodeChange::ProcessEnded(process)));
            }
            OwnershipAction::Drained => out.push(NodeAction::Changed(NodeChange::Drained)),
        }
    }

    pub(super) fn shard_event(
        &mut self,
        now: Timestamp,
        id: ShardId,
        event: ShardEvent,
        out: &mut Vec<NodeAction>,
    ) {
        let Some(shard) = self.shards.get_mut(&id) else { return };
        let generation = shard.generation;
        let mut actions = Vec::new();
        shard.machine.handle(now, event, &mut actions);
        for action in actions {
            match action {
                ShardAction::Store { call, op } => {
                    let call = NodeCall { owner: CallOwner::Shard(id), generation, call };
                    out.push(NodeAction::Store { call, op });
                }
                ShardAction::Respond { to, request, body } => {
                    self.send(to, PeerMessage::Response { request, body }, out);
                }
                ShardAction::ToGroup { to, body } => self.send_to_group(id, to, body, out),
                ShardAction::Fenced => {
                    self.shards.remove(&id);
                    out.push(NodeAction::Changed(NodeChange::ShardFenced(id)));
                    self.ownership_event(now, OwnershipEvent::ShardFenced(id), out);
                }
                ShardAction::HandedOver { to } => {
                    self.shards.remove(&id);
                    let change = NodeChange::ShardHandedOver { shard: id, to: to.clone() };
                    out.push(NodeAction::Changed(change));
                    let event = OwnershipEvent::ShardHandedOver { shard: id, to };
                    self.ownership_event(now, event, out);
                }
            }
        }
    }

    pub(super) fn group_event(
        &mut self,
        now: Timestamp,
        id: &GroupId,
        event: GroupEvent,
        out: &mut Vec<NodeAction>,
    ) {
        let Some(group) = self.groups.get_mut(id) else { return };
        let generation = group.generation;
        let mut actions = Vec::new();
        group.machine.handle(now, event, &mut actions);
        for action in actions {
            match action {
                GroupAction::Store { call, op } => {
                    let call = NodeCall { owner: CallOwner::Group(id.clone()), generation, call };
                    out.push(NodeAction::Store { call, op });
                }
                GroupAction::Worker { call, worker, op, not_after } => {
                    let call = NodeCall { owner: CallOwner::Group(id.clone()), generation, call };
                    out.push(NodeAction::Worker { call, worker, op, not_after });
                }
                GroupAction::ToShard { to, body } => self.send_to_shard(id.clone(), to, body, out),
                GroupAction::Summary(summary) => {
                    self.broadcast(&PeerMessage::Summary(summary.clone()), out);
                    self.summary(now, summary, out);
                }
                GroupAction::Interference(table) => {
                    let message =
                        PeerMessage::Interference { group: id.clone(), table: table.clone() };
                    self.broadcast(&message, out);
                    self.interference(now, id, &table, out);
                }
                GroupAction::Released => {
                    let event = OwnershipEvent::GroupReleased(id.clone());
                    self.ownership_event(now, event, out);
                }
            }
        }
    }

    fn send_to_group(
        &mut self,
        shard: ShardId,
        group: GroupId,
        body: ShardToGroup,
        out: &mut Vec<NodeAction>,
    ) {
        match self.ownership.group_owner(&group) {
            Some(owner) if owner == self.ownership.process() => {
                self.local_events.push_back(LocalEvent::ToGroup { shard, group, body });
            }
            Some(owner) => {
                let owner = owner.clone();
                self.send(owner, PeerMessage::ToGroup { shard, group, body }, out);
            }
            // Without an owner the message would be lost anyway; a new owner
            // asks the shards which attempts are bound in the group.
            None => (),
        }
    }

    fn send_to_shard(
        &mut self,
        group: GroupId,
        shard: ShardId,
        body: GroupToShard,
        out: &mut Vec<NodeAction>,
    ) {
        if self.shards.contains_key(&shard) {
            self.local_events.push_back(LocalEvent::ToShard { group, shard, body });
        } else if let Some(owner) = self.ownership.preferred_shard_owner(shard).cloned() {
            self.send(owner, PeerMessage::ToShard { group, shard, body }, out);
        }
    }

    fn send(&mut self, to: ProcessId, message: PeerMessage, out: &mut Vec<NodeAction>) {
        out.push(NodeAction::Peer { to, message });
    }

    fn broadcast(&mut self, message: &PeerMessage, out: &mut Vec<NodeAction>) {
        let me = self.ownership.process();
        let others = self.ownership.processes();
        let others = others.filter(|it| it.kind == ProcessKind::Scheduler && it.process != *me);
        for process in others {
            out.push(NodeAction::Peer { to: process.process.clone(), message: message.clone() });
        }
    }

    /// Delivers messages between machines of this node until none is left.
    pub(super) fn deliver_local(&mut self, now: Timestamp, out: &mut Vec<NodeAction>) {
        while let Some(event) = self.local_events.pop_front() {
            match event {
                LocalEvent::ToGroup { shard, group, body } => {
                    self.deliver_to_group(now, shard, &group, body, out);
                }
                LocalEvent::ToShard { group, shard, body } => {
                    self.shard_event(now, shard, ShardEvent::FromGroup { from: group, body }, out);
                }
            }
        }
    }

    fn deliver_to_group(
        &mut self,
        now: Timestamp,
        shard: ShardId,
        group: &GroupId,
        body: ShardToGroup,
        out: &mut Vec<NodeAction>,
    ) {
        if self.groups.contains_key(group) {
            self.group_event(now, group, GroupEvent::FromShard { from: shard, body }, out);
        } else if let ShardToGroup::Reserve(request) = body {
            let refusal = GroupToShard::ReserveRefused {
                task: request.task,
                reason: ReserveRefusal::NotReady,
                retry_at: now.plus_ms(NO_OWNER_RETRY_MS),
            };
            self.send_to_shard(group.clone(), shard, refusal, out);
        }
    }

    pub(super) fn peer_message(
        &mut self,
        now: Timestamp,
        from: ProcessId,
        message: PeerMessage,
        out: &mut Vec<NodeAction>,
    ) {
        match message {
            PeerMessage::Request { shard, request, body } => {
                self.request(now, from, shard, request, body, out);
            }
            PeerMessage::ToGroup { shard, group, body } => {
                self.deliver_to_group(now, shard, &group, body, out);
            }
            PeerMessage::ToShard { group, shard, body } => {
                self.shard_event(now, shard, ShardEvent::FromGroup { from: group, body }, out);
            }
            PeerMessage::ShardHandoverRequest { shard } => {
                let event = OwnershipEvent::ShardHandoverRequested { shard, by: from };
                self.ownership_event(now, event, out);
            }
            PeerMessage::ShardReleased { shard } => {
                self.ownership_event(now, OwnershipEvent::ShardReleased { shard }, out);
            }
            PeerMessage::Summary(summary) => self.summary(now, summary, out),
            PeerMessage::Interference { group, table } => {
                self.interference(now, &group, &table, out);
            }
            PeerMessage::Configuration(agreement) => {
                self.agreement_changed(now, agreement, out);
            }
            PeerMessage::RevisionRequest { request } => {
                let revision = self.agreement.as_ref().map(|it| it.revision).unwrap_or_default();
                self.send(from, PeerMessage::RevisionResponse { request, revision }, out);
            }
            // Answers are routed to the task of this process that made the
            // request, not to the node; a node takes no part in the planning of
            // a fleet.
            PeerMessage::Response { .. }
            | PeerMessage::RevisionResponse { .. }
            | PeerMessage::Fleet(_) => (),
        }
    }

    fn request(
        &mut self,
        now: Timestamp,
        from: ProcessId,
        shard: ShardId,
        request: RequestId,
        body: ShardRequest,
        out: &mut Vec<NodeAction>,
    ) {
        if self.shards.contains_key(&shard) {
            self.shard_event(now, shard, ShardEvent::Request { from, request, body }, out);
            return;
        }
        let hint = self.ownership.preferred_shard_owner(shard).cloned();
        let hint = hint.filter(|it| it != self.process());
        let body = ShardResponse::NotOwner { hint };
        self.send(from, PeerMessage::Response { request, body }, out);
    }

    fn summary(&mut self, now: Timestamp, summary: GroupSummary, out: &mut Vec<NodeAction>) {
        let known = self.summaries.get(&summary.group);
        if known.is_some_and(|it| (summary.epoch, summary.made_at) < (it.epoch, it.made_at)) {
            return;
        }
        self.summaries.insert(summary.group.clone(), summary.clone());
        let shards: Vec<ShardId> = self.shards.keys().copied().collect();
        for shard in shards {
            self.shard_event(now, shard, ShardEvent::Summary(summary.clone()), out);
        }
    }

    fn interference(
        &mut self,
        now: Timestamp,
        from: &GroupId,
        table: &bytes::Bytes,
        out: &mut Vec<NodeAction>,
    ) {
        let groups: Vec<GroupId> = self.groups.keys().filter(|it| *it != from).cloned().collect();
        for group in groups {
            self.group_event(now, &group, GroupEvent::Interference(table.clone()), out);
        }
    }

    /// Makes shards and groups reconcile with a process whose connection was
    /// opened again, because messages on the old one may be lost.
    pub(super) fn peer_connected(
        &mut self,
        now: Timestamp,
        process: &ProcessId,
        out: &mut Vec<NodeAction>,
    ) {
        let claims = self.ownership.claims_of(process);
        let shards: Vec<ShardId> = self.shards.keys().copied().collect();
        for (group, epoch) in claims {
            for shard in &shards {
                let body = GroupToShard::OwnerChanged { epoch };
                let event = ShardEvent::FromGroup { from: group.clone(), body };
                self.shard_event(now, *shard, event, out);
            }
        }
        let own = self.ownership.claims_of(&self.process().clone());
        for number in 0..self.cfg.shards {
            let shard = ShardId(number);
            if self.ownership.preferred_shard_owner(shard) != Some(process) {
                continue;
            }
            for (group, epoch) in &own {
                let body = GroupToShard::OwnerChanged { epoch: *epoch };
                let message = PeerMessage::ToShard { group: group.clone(), shard, body };
                self.send(process.clone(), message, out);
            }
        }
    }
}
