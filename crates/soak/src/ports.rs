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
const PORTS: Range<u16> = 10_000..30_000;
/// Ports of one block, of which each soak has one: enough for a hundred instances. When
/// they were drawn one by one, two of 113 seeds clashed with a soak beside them.
const BLOCK: u16 = 500;

/// A block of ports.
#[derive(Debug)]
pub(crate) struct Ports {
    /// Listens on the first one, by which the block is this soak's own.
    _claim: TcpListener,
    rest: Range<u16>,
}

impl Ports {
    /// Claims a block that no other soak has.
    ///
    /// # Errors
    ///
    /// Fails when there is none.
    pub(crate) fn claim() -> Result<Self> {
        let blocks = PORTS.len() as u16 / BLOCK;
        // Any start will do; others mostly have another.
        let start = rand::random_range(0..blocks);
        for block in (0..blocks).map(|step| (start + step) % blocks) {
            let first = PORTS.start + block * BLOCK;
            if let Ok(claim) = TcpListener::bind(local(first)) {
                return Ok(Self {
                    _claim: claim,
                    rest: first + 1..first + BLOCK,
                });
            }
        }
        Err(Error::Ports)
    }

    /// Returns the addresses of one more instance.
    ///
    /// # Errors
    ///
    /// Fails when the block is used up.
    pub(crate) fn addresses(&mut self) -> Result<Addresses> {
        Ok(Addresses {
            caller: self.next()?,
            ready: self.next()?,
            peer: self.next()?,
            admin: self.next()?,
        })
    }

    /// Returns the next port that no other program listens on.
    fn next(&mut self) -> Result<SocketAddr> {
        let mut rest = self.rest.by_ref().map(local);
        let free = rest.find(|addr| TcpListener::bind(addr).is_ok());
        free.ok_or(Error::Ports)
    }
}

fn local(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}
