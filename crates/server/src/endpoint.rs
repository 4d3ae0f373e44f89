//! An address on which an instance listens, with pauses in which connections are refused.

use std::{io, net::SocketAddr};

use tokio::net::{TcpListener, TcpSocket};

/// Number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// A bound address. No other process can take it while the instance does not listen.
#[derive(Debug)]
pub(crate) struct Endpoint {
    addr: SocketAddr,
    /// Bound and never listening.
    _reservation: TcpSocket,
}

impl Endpoint {
    /// Binds `addr`; with port 0, the system assigns one.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub(crate) fn bind(addr: SocketAddr) -> io::Result<Self> {
        let reservation = bound_socket(addr)?;
        Ok(Self {
            addr: reservation.local_addr()?,
            _reservation: reservation,
        })
    }

    /// Returns the bound address.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Listens until the listener is dropped; then connections are refused.
    ///
    /// # Errors
    ///
    /// Fails if the system can't open a socket or another process listens on the address.
    pub(crate) fn listen(&self) -> io::Result<TcpListener> {
        bound_socket(self.addr)?.listen(BACKLOG)
    }
}

fn bound_socket(addr: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    Ok(socket)
}
