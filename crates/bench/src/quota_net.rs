//! Many cores of quota sharing in one process, with delays and cuts between
//! them, on a clock of its own.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use savoryvane_core::{
    ids::{Incarnation, InstanceName, WorkspaceName, ZoneName},
    limiter::Admission,
    quota::{QuotaClaimant, Rate, UsageGrant, UsageReport, WorkspaceKey},
    topology::{Duty, Shard, highest_ranked, lead_zone},
    usage::{OutgoingReport, QuotaView, ReportTarget, Usage},
};
use savoryvane_wire::peer::{Message, encode};

/// Time between two ticks, in ms.
const TICK_MS: u64 = 100;

/// One instance of the net.
#[derive(Debug)]
pub struct QuotaNode {
    /// Its core.
    pub core: Usage,
    /// Whether it runs.
    pub is_running: bool,
    /// Messages sent, reports and answers.
    pub sent: u64,
    /// Bytes sent, as frames.
    pub sent_bytes: u64,
    /// Messages received.
    pub received: u64,
    /// Bytes received, as frames.
    pub received_bytes: u64,
    /// Time spent in handlers.
    pub busy: Duration,
    name: InstanceName,
    zone: ZoneName,
}

#[derive(Debug)]
enum Due {
    Report(usize, usize, UsageReport),
    Grant(usize, QuotaClaimant, UsageGrant),
}

/// Says which messages from one instance to another get lost, by index.
pub type Cut = Box<dyn Fn(usize, usize) -> bool>;

/// The instances and the network between them.
pub struct QuotaNet {
    /// Time, in ms.
    pub now_ms: u64,
    /// The instances.
    pub nodes: Vec<QuotaNode>,
    workspaces: Vec<(WorkspaceName, u32)>,
    index: HashMap<InstanceName, usize>,
    queue: BTreeMap<u64, Vec<Due>>,
    cut: Cut,
    counts_bytes: bool,
    runs: u64,
}

impl QuotaNet {
    /// Creates `per_zone` instances in each of `zones` zones, and workspaces with
    /// these quotas, in requests a second.
    pub fn new(zones: usize, per_zone: usize, quotas: &[u32]) -> Self {
        let workspaces = quotas.iter().enumerate();
        let workspaces = workspaces
            .map(|(i, per_s)| (WorkspaceName::new(format!("workspace-{i:05}")), *per_s))
            .collect();
        let mut net = Self {
            now_ms: 1_000,
            nodes: Vec::new(),
            workspaces,
            index: HashMap::new(),
            queue: BTreeMap::new(),
            cut: Box::new(|_, _| false),
            counts_bytes: false,
            runs: 0,
        };
        for index in 0..zones * per_zone {
            let name = InstanceName::new(format!("entry-{index:03}"));
            let zone = ZoneName::new(format!("zone-{}", index % zones));
            let core = net.fresh(&name, &zone);
            net.index.insert(name.clone(), index);
            net.nodes.push(QuotaNode {
                core,
                is_running: true,
                sent: 0,
                sent_bytes: 0,
                received: 0,
                received_bytes: 0,
                busy: Duration::ZERO,
                name,
                zone,
            });
        }
        net.renew_views();
        net
    }

    /// Counts bytes with the real codec from now on.
    pub fn count_bytes(&mut self) {
        self.counts_bytes = true;
    }

    /// Returns the name of a workspace.
    pub fn workspace(&self, index: usize) -> WorkspaceName {
        self.workspaces[index].0.clone()
    }

    /// Returns the key of a workspace.
    pub fn key(&self, index: usize) -> WorkspaceKey {
        WorkspaceKey::of(&self.workspaces[index].0)
    }

    /// Returns the home of a workspace's shard among the running of a zone.
    pub fn home(&self, workspace: usize, zone: usize) -> usize {
        let shard = self.key(workspace).shard();
        let zone = self.nodes[zone].zone.clone();
        self.home_in(shard, &zone).unwrap_or_default()
    }

    /// Returns the zone whose home divides a workspace's quota, as the index of
    /// an instance in it.
    pub fn lead(&self, workspace: usize) -> usize {
        let shard = self.key(workspace).shard();
        let lead = lead_zone(shard, self.nodes.iter().map(|node| &node.zone));
        let is_in = |node: &QuotaNode| Some(&node.zone) == lead;
        self.nodes.iter().position(is_in).unwrap_or_default()
    }

    /// Replaces the rule by which messages get lost.
    pub fn set_cut(&mut self, cut: impl Fn(usize, usize) -> bool + 'static) {
        self.cut = Box::new(cut);
    }

    /// Ends an instance; the others go on counting it until [`Self::renew_views`].
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].is_running = false;
    }

    /// Starts another run of an instance.
    pub fn restart(&mut self, index: usize) {
        let (name, zone) = (
            self.nodes[index].name.clone(),
            self.nodes[index].zone.clone(),
        );
        self.nodes[index].core = self.fresh(&name, &zone);
        self.nodes[index].is_running = true;
        self.renew_views();
    }

    /// Tells the instances who is there: homes are chosen among the running, and
    /// everyone counts.
    pub fn renew_views(&mut self) {
        for index in 0..self.nodes.len() {
            let view = self.view(index);
            let now_ms = self.now_ms;
            self.nodes[index].core.set_view(now_ms, view);
        }
    }

    /// Lets an instance decide on one request.
    pub fn admit(&mut self, index: usize, workspace: usize) -> bool {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[index];
        if !node.is_running {
            return false;
        }
        let name = &self.workspaces[workspace].0;
        node.core.admit(now_ms, name) == Admission::Admitted
    }

    /// Adds up the rates that the running instances may use for a workspace.
    pub fn sum_of_rates(&self, workspace: usize) -> Rate {
        let key = self.key(workspace);
        let running = self.nodes.iter().filter(|node| node.is_running);
        running.fold(Rate::default(), |sum, node| {
            sum.saturating_add(node.core.rate(self.now_ms, key))
        })
    }

    /// Runs one tick of the clock.
    pub fn step(&mut self) {
        let end_ms = self.now_ms + TICK_MS;
        while let Some(entry) = self.queue.first_entry() {
            if *entry.key() > end_ms {
                break;
            }
            let (at_ms, due) = entry.remove_entry();
            self.now_ms = self.now_ms.max(at_ms);
            for due in due {
                self.handle(due);
            }
        }
        self.now_ms = end_ms;
        for index in 0..self.nodes.len() {
            self.tick(index);
        }
    }

    fn fresh(&mut self, name: &InstanceName, zone: &ZoneName) -> Usage {
        self.runs += 1;
        let run = Incarnation(self.runs.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let mut core = Usage::new(self.now_ms, name.clone(), zone.clone(), run);
        let quotas = self.workspaces.iter().map(|(name, per_s)| (name, *per_s));
        core.set_quotas(quotas);
        core
    }

    fn view(&self, index: usize) -> QuotaView {
        let mut zones = BTreeMap::new();
        for node in &self.nodes {
            *zones.entry(node.zone.clone()).or_insert(0) += 1;
        }
        let zone = &self.nodes[index].zone;
        let members = self.nodes.iter().filter(|node| node.zone == *zone);
        let home = |shard| self.home_in(shard, zone).unwrap_or(index);
        QuotaView {
            members: members.map(|node| node.name.clone()).collect(),
            leads: Shard::all()
                .filter_map(|shard| lead_zone(shard, zones.keys()).cloned())
                .collect(),
            homes: Shard::all()
                .map(|shard| self.nodes[home(shard)].name.clone())
                .collect(),
            zones,
        }
    }

    fn home_in(&self, shard: Shard, zone: &ZoneName) -> Option<usize> {
        let members = self
            .nodes
            .iter()
            .filter(|n| n.is_running && n.zone == *zone);
        let home = highest_ranked(Duty::Home(shard), members.map(|node| &node.name))?;
        self.index.get(home).copied()
    }

    fn tick(&mut self, index: usize) {
        if !self.nodes[index].is_running {
            return;
        }
        let start = Instant::now();
        let reports = self.nodes[index].core.tick(self.now_ms);
        self.nodes[index].busy += start.elapsed();
        for OutgoingReport { to, report } in reports {
            let to = match to {
                ReportTarget::Home(name) => self.index.get(&name).copied(),
                ReportTarget::Lead(zone) => self.home_in(report.shard, &zone),
            };
            if let Some(to) = to {
                self.count_sent(index, &Message::UsageReport(report.clone()));
                self.post(index, to, Due::Report(index, to, report));
            }
        }
    }

    fn post(&mut self, from: usize, to: usize, due: Due) {
        if (self.cut)(from, to) || !self.nodes[to].is_running {
            return;
        }
        let is_near = self.nodes[from].zone == self.nodes[to].zone;
        let at_ms = self.now_ms + if is_near { 2 } else { 10 };
        self.queue.entry(at_ms).or_default().push(due);
    }

    fn handle(&mut self, due: Due) {
        match due {
            Due::Report(from, to, report) => {
                self.count_received(to, || Message::UsageReport(report.clone()));
                let name = self.nodes[from].name.clone();
                let start = Instant::now();
                let answer = self.nodes[to].core.on_report(self.now_ms, &name, &report);
                self.nodes[to].busy += start.elapsed();
                if let Ok(grant) = answer {
                    self.count_sent(to, &Message::UsageGrant(grant.clone()));
                    self.post(to, from, Due::Grant(from, report.claimant, grant));
                }
            }
            Due::Grant(index, claimant, grant) => {
                self.count_received(index, || Message::UsageGrant(grant.clone()));
                let start = Instant::now();
                self.nodes[index]
                    .core
                    .on_grant(self.now_ms, &claimant, &grant);
                self.nodes[index].busy += start.elapsed();
            }
        }
    }

    fn count_sent(&mut self, index: usize, message: &Message) {
        let bytes = if self.counts_bytes {
            frame_bytes(message)
        } else {
            0
        };
        self.nodes[index].sent += 1;
        self.nodes[index].sent_bytes += bytes;
    }

    fn count_received(&mut self, index: usize, message: impl Fn() -> Message) {
        let bytes = if self.counts_bytes {
            frame_bytes(&message())
        } else {
            0
        };
        self.nodes[index].received += 1;
        self.nodes[index].received_bytes += bytes;
    }
}

fn frame_bytes(message: &Message) -> u64 {
    encode(message).map_or(0, |frame| frame.len() as u64)
}
