//! Allocates ports for instances that no other soak on this machine uses.

use std::{
    net::{SocketAddr, TcpListener},
    ops::Range,
};

use crate::{
    error::{Error, Result},
    process::Addresses,
};

/// Ports for instances. The range is below the ephemeral ports of outgoing connections, so
/// that a port is still free when its instance restarts.
const PORT_RANGE: Range<u16> = 10_000..30_000;
/// Ports of the one block that each soak owns: enough for a hundred instances. Drawing single
/// ports instead made 2 of 113 seeds collide with a concurrent soak.
const PORTS_PER_BLOCK: u16 = 500;

/// A block of ports that is reserved for one soak.
#[derive(Debug)]
pub(crate) struct Ports {
    /// Listens on the first port, which reserves the block for this soak.
    _first_listener: TcpListener,
    remaining_ports: Range<u16>,
}

impl Ports {
    /// Reserves a block that no other soak owns.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NoFreePorts`] if all blocks are reserved.
    pub(crate) fn claim() -> Result<Self> {
        let blocks = PORT_RANGE.len() as u16 / PORTS_PER_BLOCK;
        // A random start avoids most collisions with concurrent soaks.
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

    /// Allocates the addresses of one more instance.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NoFreePorts`] if the block is exhausted.
    pub(crate) fn next_addresses(&mut self) -> Result<Addresses> {
        Ok(Addresses {
            caller: self.next_free_port()?,
            ready: self.next_free_port()?,
            peer: self.next_free_port()?,
            admin: self.next_free_port()?,
        })
    }

    /// Returns the next address that no other program listens on.
    fn next_free_port(&mut self) -> Result<SocketAddr> {
        let mut remaining_ports = self.remaining_ports.by_ref().map(loopback);
        let free_port = remaining_ports.find(|addr| TcpListener::bind(addr).is_ok());
        free_port.ok_or(Error::NoFreePorts)
    }
}

fn loopback(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}
