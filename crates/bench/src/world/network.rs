//! Delays between instances and servers, and cuts between zones.

use std::collections::{BTreeMap, BTreeSet};

use crate::deployment::Deployment;

const WITHIN_ZONE_US: u64 = 50;
/// Time after which a connection without any sign of life is called silent.
const SILENT_AFTER_US: u64 = 500_000;
/// Time after which a connection that cannot be opened fails.
const CONNECT_TIMEOUT_US: u64 = 300_000;

/// Connections between instances and servers.
#[derive(Debug)]
pub(super) struct Network {
    instance_zones: Vec<usize>,
    server_zones: Vec<usize>,
    one_way_us: u64,
    cut_zone: Option<usize>,
    /// Connections that are known to be dead, by instance and server.
    dead: BTreeMap<(usize, usize), u64>,
    /// Calls that were made over each connection: request and attempt.
    open: BTreeMap<(usize, usize), BTreeSet<(usize, u64)>>,
}

impl Network {
    pub(super) fn new(deployment: &Deployment) -> Self {
        let zone_index = |name| {
            deployment
                .zones
                .iter()
                .position(|zone| zone == name)
                .unwrap_or(0)
        };
        Self {
            instance_zones: deployment.instances.iter().map(|spec| spec.zone).collect(),
            server_zones: deployment
                .servers
                .iter()
                .map(|server| zone_index(&server.backend.zone))
                .collect(),
            one_way_us: deployment.zone_one_way_us,
            cut_zone: None,
            dead: BTreeMap::new(),
            open: BTreeMap::new(),
        }
    }

    /// Returns the time a message takes, or nothing when it is lost.
    pub(super) fn delay_us(&self, instance: usize, server: usize) -> Option<u64> {
        let (from, to) = (self.instance_zones[instance], self.server_zones[server]);
        match self.cut_zone {
            _ if from == to => Some(WITHIN_ZONE_US),
            Some(cut) if from == cut || to == cut => None,
            _ => Some(self.one_way_us),
        }
    }

    /// Returns the time at which a call that is sent now turns out not to have
    /// been: its connection is known to be dead and no new one opens.
    pub(super) fn refused_at(
        &mut self,
        now_us: u64,
        instance: usize,
        server: usize,
    ) -> Option<u64> {
        if self.delay_us(instance, server).is_some() {
            return None;
        }
        let dead_from_us = *self
            .dead
            .entry((instance, server))
            .or_insert(now_us + SILENT_AFTER_US);
        (now_us >= dead_from_us).then_some(now_us + CONNECT_TIMEOUT_US)
    }

    pub(super) fn silent_at(&self, now_us: u64) -> u64 {
        now_us + SILENT_AFTER_US
    }

    pub(super) fn note_open(
        &mut self,
        instance: usize,
        server: usize,
        request: usize,
        attempt: u64,
    ) {
        self.open
            .entry((instance, server))
            .or_default()
            .insert((request, attempt));
    }

    /// Cuts a zone off and returns the calls whose connections that silences.
    pub(super) fn cut(&mut self, zone: usize) -> Vec<(usize, u64)> {
        self.cut_zone = Some(zone);
        let mut silenced = Vec::new();
        for (ends, calls) in &self.open {
            if self.delay_us(ends.0, ends.1).is_none() {
                silenced.extend(calls.iter().copied());
            }
        }
        silenced
    }

    pub(super) fn mend(&mut self, _zone: usize) {
        self.cut_zone = None;
        self.dead.clear();
    }
}
