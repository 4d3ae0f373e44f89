//! Faults as they begin and end.

use savoryvane_core::execution::Event;

use super::{Happening, World};
use crate::scenario::Fault;

impl World<'_> {
    pub(super) fn begin_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Slow { server, factor } => self.servers[server].slowness = factor,
            Fault::Failing { server } => self.servers[server].is_failing = true,
            Fault::Cut { zone } => {
                let silent_at_us = self.network.silent_at(self.now_us);
                for (request, attempt) in self.network.cut(zone) {
                    let event = Event::Silent { attempt };
                    self.schedule(silent_at_us, Happening::ToRequest { request, event });
                }
            }
            Fault::Killed { instance } => self.kill(instance),
        }
    }

    pub(super) fn end_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Slow { server, .. } => self.servers[server].slowness = 1.0,
            Fault::Failing { server } => self.servers[server].is_failing = false,
            Fault::Cut { zone } => self.network.mend(zone),
            Fault::Killed { .. } => {}
        }
    }

    fn kill(&mut self, instance: usize) {
        self.instances[instance].is_alive = false;
        for server in 0..self.servers.len() {
            let outputs = self.servers[server].cancel(self.now_us, |job| job.instance == instance);
            self.carry_out(server, outputs);
        }
        for request in 0..self.requests.len() {
            if self.requests[request].arrival.instance == instance
                && !self.requests[request].is_over
            {
                self.end(request, None, false);
            }
        }
    }
}
