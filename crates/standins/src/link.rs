//! A connection passed on between two sockets, with fault switches.

use std::{future, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::{
    io::{self, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
    time,
};

/// Bytes that are passed on at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Faults of the network between two processes; `POST /fault` replaces them all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkFaults {
    /// Nothing moves, and new connections wait, until the fault is lifted.
    pub cut: bool,
    /// Closes every connection, new ones too.
    pub close: bool,
    /// Makes the connections that are established now silent for good, once.
    pub silence_established: bool,
    /// Time that each piece of data takes, in ms.
    pub delay_ms: u64,
}

/// State of a link, which its connections follow.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkState {
    faults: LinkFaults,
    /// Connections of an earlier epoch are silent.
    epoch: u64,
}

/// Switch of a link.
#[derive(Debug, Default)]
pub(crate) struct LinkSwitch(watch::Sender<LinkState>);

impl LinkSwitch {
    /// Replaces the faults.
    pub(crate) fn set(&self, mut faults: LinkFaults) {
        self.0.send_modify(|state| {
            state.epoch += u64::from(std::mem::take(&mut faults.silence_established));
            state.faults = faults;
        });
    }

    /// Follows the state.
    pub(crate) fn subscribe(&self) -> watch::Receiver<LinkState> {
        self.0.subscribe()
    }
}

/// Waits while the link is cut; tells whether it takes connections then.
pub(crate) async fn opens(state: &mut watch::Receiver<LinkState>) -> bool {
    let passing = state.wait_for(|state| !state.faults.cut).await;
    passing.is_ok_and(|state| !state.faults.close)
}

/// Passes bytes on between `near` and `far` until both directions have ended.
pub(crate) async fn forward(
    near: TcpStream,
    far: TcpStream,
    mut state: watch::Receiver<LinkState>,
) {
    // Small writes must not wait for each other; a failure only costs time.
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let epoch = state.borrow().epoch;
    let (mut near_read, mut near_write) = near.into_split();
    let (mut far_read, mut far_write) = far.into_split();
    let there = pump(&mut near_read, &mut far_write, state.clone(), epoch);
    let back = pump(&mut far_read, &mut near_write, state.clone(), epoch);
    let both = async { tokio::try_join!(there, back) };
    tokio::select! {
        // Either end may go away at any time, which ends the other one too.
        _ = both => {}
        () = closed(&mut state) => {}
    }
}

async fn closed(state: &mut watch::Receiver<LinkState>) {
    let _ = state.wait_for(|state| state.faults.close).await;
}

async fn pump<R, W>(
    reader: &mut R,
    writer: &mut W,
    mut state: watch::Receiver<LinkState>,
    epoch: u64,
) -> io::Result<()>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let length = reader.read(&mut chunk).await?;
        pass(&mut state, epoch).await;
        if length == 0 {
            return writer.shutdown().await;
        }
        writer.write_all(&chunk[..length]).await?;
    }
}

/// Waits until the link lets a piece of data pass, for a silent one forever.
async fn pass(state: &mut watch::Receiver<LinkState>, epoch: u64) {
    let delay_ms = match state.wait_for(|state| !state.faults.cut).await {
        Ok(state) if state.epoch == epoch => Some(state.faults.delay_ms),
        Ok(_) => None,
        Err(_) => Some(0),
    };
    match delay_ms {
        Some(0) => {}
        Some(delay_ms) => time::sleep(Duration::from_millis(delay_ms)).await,
        None => future::pending().await,
    }
}
