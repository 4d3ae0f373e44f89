//! Ports of instances, which no other soak on this machine takes.

use std::{
    net::{SocketAddr, TcpListener},
    ops::Range,
};

use crate::{
    error::{Error, Result},
    process::Addresses,
};

/// Ports of instances, below those that connections take theirs from, so that they are
/// free again after a restart.
const PORT_RANGE: Range<u16> = 10_000..30_000;
/// Ports of one block, of which each soak has one: enough for a hundred instances. When
/// they were drawn one by one, two of 113 seeds clashed with a soak beside them.
const PORTS_PER_BLOCK: u16 = 500;

/// A block of ports.
#[derive(Debug)]
pub(crate) struct Ports {
    /// Listens on the first one, by which the block is this soak's own.
    _first_listener: TcpListener,
    remaining_ports: Range<u16>,
}

impl Ports {
    /// Claims a block that no other soak has.
    ///
    /// # Errors
    ///
    /// Fails when there is none.
    pub(crate) fn claim() -> Result<Self> {
        let blocks = PORT_RANGE.len() as u16 / PORTS_PER_BLOCK;
        // Any start will do; others mostly have another.
        let start = rand::random_range(0..blocks);
        for block in (0..blocks).map(|offset| (start + offset) % blocks) {
            let first = PORT_RANGE.start + block * PORTS_PER_BLOCK;
            if let Ok(listener) = TcpListener::bind(loopback(first)) {
                return Ok(Self {
                    _first_listener: listener,
                    remaining_ports: first + 1..first + PORTS_PER_BLOCK,
                });
            }
        }
        Err(Error::NoFreePorts)
    }

    /// Returns the addresses of one more instance.
    ///
    /// # Errors
    ///
    /// Fails when the block is used up.
    pub(crate) fn next_addresses(&mut self) -> Result<Addresses> {
        Ok(Addresses {
            caller: self.next_free_port()?,
            ready: self.next_free_port()?,
            peer: self.next_free_port()?,
            admin: self.next_free_port()?,
        })
    }

    /// Returns the next port that no other program listens on.
    fn next_free_port(&mut self) -> Result<SocketAddr> {
        let mut remaining_ports = self.remaining_ports.by_ref().map(loopback);
        let free_port = remaining_ports.find(|addr| TcpListener::bind(addr).is_ok());
        free_port.ok_or(Error::NoFreePorts)
    }
}

fn loopback(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}
