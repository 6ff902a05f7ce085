//! Runs one deployment on loopback: stand-ins for the platform and all
//! processes.

use std::time::Duration;

use eyre::{WrapErr as _, bail};
use mustardcove_core::{
    agreement::record::{AgreementRecord, ChangeNote},
    configuration::{AgreementChange, AgreementChangeStep},
    id::WriteToken,
    ownership::{
        ClaimRecord, ProcessKind, SessionRecord,
        record::{CLAIM_PREFIX, SESSION_PREFIX, decode_record},
    },
    store::{StoreOp, StoreReply},
};
use mustardcove_platform::{
    Clock, Store as _,
    memory::FleetConfig,
    standin::{FleetStandin, InstancesStandin, StoreStandin},
};
use mustardcove_runtime::settings::Settings;
use slog::{Logger, o};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::deployment::{Deployment, INSTANCES, token_digest};

/// Token that the operators' API of the development deployments accepts.
pub const OPERATOR_TOKEN: &str = "operator-development-token";

/// Time limit for the start of a deployment.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between checks whether the deployment has started.
const START_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running deployment.
pub struct Cluster {
    /// The configuration of the deployment.
    pub deployment: Deployment,
    /// Stand-in for the store.
    pub store: StoreStandin,
    /// Stand-in for the instance list.
    pub instances: InstancesStandin,
    /// Stand-in for the workers.
    pub fleet: FleetStandin,
    /// Addresses of the callers' API, one for each entry process; empty until
    /// the deployment has settled.
    pub entries: Vec<String>,
    stop: CancellationToken,
    processes: JoinSet<eyre::Result<()>>,
}

/// Address on loopback with a port that the operating system chooses on binding.
///
/// If a port were chosen earlier, an outgoing connection of another process
/// could take it before it is bound.
const ANY_PORT: &str = "127.0.0.1:0";

/// Addresses at which the processes of a deployment reach the platform.
#[derive(Clone, Debug)]
pub struct PlatformAddresses {
    /// Address of the store.
    pub store: String,
    /// Address of the instance list.
    pub instances: String,
}

/// Returns the settings that entry and scheduler processes have in common, as
/// the text of a settings file.
///
/// `kind` and `number` go into the name of the process; `number` also selects
/// its failure domain.
pub fn common_settings(
    deployment: &Deployment,
    platform: &PlatformAddresses,
    kind: &str,
    number: usize,
) -> String {
    let (domain, region) = &deployment.domains[number % deployment.domains.len()];
    format!(
        "[process]\n\
         name = {name}-{kind}-{number}\n\
         region = {region}\n\
         failure_domain = {domain}\n\
         [admin]\n\
         listen = {ANY_PORT}\n\
         [peer]\n\
         listen = {ANY_PORT}\n\
         [store]\n\
         address = {store}\n\
         [instances]\n\
         address = {instances}\n",
        name = deployment.name,
        store = platform.store,
        instances = platform.instances,
    )
}

/// The field of an entry process's dump that is needed here.
#[derive(Debug, serde::Deserialize)]
struct EntryDump {
    api_address: String,
}

impl Cluster {
    /// Starts the stand-ins, writes the agreement, starts all processes and waits
    /// until they are ready and every shard and group has an owner.
    ///
    /// # Errors
    ///
    /// Returns an error if a port cannot be bound or the deployment does not
    /// settle in time.
    pub async fn start(
        deployment: Deployment,
        clock: Clock,
        seed: u64,
        log: &Logger,
    ) -> eyre::Result<Cluster> {
        let mut cluster = Cluster::start_platform(deployment, clock, seed).await?;
        for number in 0..INSTANCES {
            cluster.start_scheduler(number, clock, log)?;
        }
        cluster.start_entries(clock, log)?;
        cluster.wait_until_settled().await?;
        Ok(cluster)
    }

    /// Starts only the stand-ins and writes the agreement. The processes have to
    /// be started separately.
    ///
    /// # Errors
    ///
    /// Returns an error if a port cannot be bound.
    pub async fn start_platform(
        deployment: Deployment,
        clock: Clock,
        seed: u64,
    ) -> eyre::Result<Cluster> {
        let store = StoreStandin::start(clock, seed).await?;
        let instances = InstancesStandin::start(clock).await?;
        let fleet = FleetStandin::start(
            clock,
            FleetConfig {
                interference: deployment.interference.clone(),
                sample_delay_ms: 500,
                sample_noise: 0.2,
                sample_loss_permille: 50,
                seed,
                ..FleetConfig::default()
            },
        );
        let workers = fleet.add_shared(deployment.workers.clone()).await?;
        instances.list().set_workers(workers);
        let cluster = Cluster {
            deployment,
            store,
            instances,
            fleet,
            entries: Vec::new(),
            stop: CancellationToken::new(),
            processes: JoinSet::new(),
        };
        cluster.write_agreement(clock).await?;
        Ok(cluster)
    }

    /// Starts the entry processes.
    ///
    /// # Errors
    ///
    /// Returns an error if a port cannot be bound.
    pub fn start_entries(&mut self, clock: Clock, log: &Logger) -> eyre::Result<()> {
        for number in 0..INSTANCES {
            self.start_entry(number, clock, log)?;
        }
        Ok(())
    }

    /// Waits until all processes are ready and every group has an owner, then
    /// records the addresses of the entry processes.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes too long or an entry process does not
    /// answer with its address.
    pub async fn wait_until_settled(&mut self) -> eyre::Result<()> {
        tokio::time::timeout(START_TIMEOUT, self.poll_until_settled())
            .await
            .wrap_err("the deployment did not settle in time")?;
        for record in self.sessions().await {
            if record.kind == ProcessKind::Entry {
                let url = format!("http://{}/dump", record.admin_address);
                let dump: EntryDump = reqwest::get(url).await?.json().await?;
                self.entries.push(dump.api_address);
            }
        }
        Ok(())
    }

    /// Returns the addresses of the stand-ins that processes connect to.
    pub fn platform_addresses(&self) -> PlatformAddresses {
        PlatformAddresses {
            store: self.store.address().to_string(),
            instances: self.instances.address().to_string(),
        }
    }

    fn start_scheduler(&mut self, number: usize, clock: Clock, log: &Logger) -> eyre::Result<()> {
        let text = common_settings(&self.deployment, &self.platform_addresses(), "sched", number);
        let settings = Settings::parse(&mustardcove_sched::settings::PROGRAM, "sched", &text)?;
        let log = log.new(o!("process" => format!("{}-sched-{number}", self.deployment.name)));
        let stop = self.stop.clone();
        self.processes.spawn(async move {
            mustardcove_sched::process::run(settings, log, clock, stop).await.map(|_| ())
        });
        Ok(())
    }

    fn start_entry(&mut self, number: usize, clock: Clock, log: &Logger) -> eyre::Result<()> {
        let mut text =
            common_settings(&self.deployment, &self.platform_addresses(), "entry", number);
        let digest = token_digest(OPERATOR_TOKEN);
        text.push_str(&format!("[api]\nlisten = {ANY_PORT}\n"));
        text.push_str(&format!("[operators]\ntoken_digests = {digest}\n"));
        let settings = Settings::parse(&mustardcove_entry::settings::PROGRAM, "entry", &text)?;
        let log = log.new(o!("process" => format!("{}-entry-{number}", self.deployment.name)));
        let stop = self.stop.clone();
        self.processes.spawn(async move {
            mustardcove_entry::process::run(settings, log, clock, stop).await.map(|_| ())
        });
        Ok(())
    }

    async fn write_agreement(&self, clock: Clock) -> eyre::Result<()> {
        let record = self.deployment.record.clone();
        let note = ChangeNote {
            author: "mustardcove-dev".to_owned(),
            summary: "initial agreement".to_owned(),
            changed_at: clock.now(),
            token: WriteToken(1),
        };
        let mut change =
            AgreementChange::new(move |_: &AgreementRecord| Ok(record.clone()), None, note);
        let mut step = AgreementChangeStep::Call(change.start());
        loop {
            match step {
                AgreementChangeStep::Call(op) => {
                    step = change.handle(&self.store.store().call(op).await)
                }
                AgreementChangeStep::Done(_) => return Ok(()),
                AgreementChangeStep::Failed(error) => {
                    bail!("the agreement was not accepted: {error}")
                }
            }
        }
    }

    async fn poll_until_settled(&self) {
        // The default settings make one group in each failure domain.
        let groups = self.deployment.domains.len();
        loop {
            let sessions = self.sessions().await;
            let schedulers = sessions.iter().filter(|it| it.kind == ProcessKind::Scheduler);
            let claims = self.list::<serde_json::Value>(CLAIM_PREFIX).await.len();
            if schedulers.count() == INSTANCES && claims == groups && all_ready(&sessions).await {
                return;
            }
            tokio::time::sleep(START_POLL_INTERVAL).await;
        }
    }

    async fn list<T: for<'de> serde::Deserialize<'de>>(&self, prefix: &str) -> Vec<T> {
        let op =
            StoreOp::List { prefix: prefix.to_owned(), start_after: String::new(), limit: 1_000 };
        match self.store.store().call(op).await {
            Ok(StoreReply::Listed { entries, .. }) => {
                entries.iter().filter_map(|it| decode_record(&it.value)).collect()
            }
            _ => Vec::new(),
        }
    }

    /// Returns the sessions of the live processes.
    pub async fn sessions(&self) -> Vec<SessionRecord> {
        self.list(SESSION_PREFIX).await
    }

    /// Returns the claims on the worker groups.
    pub async fn claims(&self) -> Vec<ClaimRecord> {
        self.list(CLAIM_PREFIX).await
    }

    /// Stops all processes gracefully.
    ///
    /// # Errors
    ///
    /// Returns the first error of a process, or of joining its task.
    pub async fn stop(mut self) -> eyre::Result<()> {
        self.stop.cancel();
        while let Some(joined) = self.processes.join_next().await {
            joined??;
        }
        Ok(())
    }
}

async fn all_ready(sessions: &[SessionRecord]) -> bool {
    let mut ready = 0;
    for record in sessions {
        let url = format!("http://{}/readyz", record.admin_address);
        let resp = reqwest::get(url).await;
        ready += usize::from(resp.is_ok_and(|it| it.status().is_success()));
    }
    ready == 2 * INSTANCES
}
