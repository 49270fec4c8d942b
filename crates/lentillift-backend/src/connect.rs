//! Connections that record whether anything was written to them, and that can be discarded.
//!
//! An error of the client library does not state whether it occurred before or after the first byte
//! was sent: the timeout of the whole call may expire while the connection is being opened, and an
//! I/O error may come from opening it or from reading the reply. A wrong guess in one direction
//! reports a request that ran as "not run", and its caller files it again; in the other direction,
//! a dead backend server makes all requests "unknown". Recording the write itself avoids the guess.

use std::cell::Cell;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use ureq::Error;
use ureq::unversioned::transport::Buffers;
use ureq::unversioned::transport::ConnectionDetails;
use ureq::unversioned::transport::Connector;
use ureq::unversioned::transport::NextTimeout;
use ureq::unversioned::transport::TcpConnector;
use ureq::unversioned::transport::Transport;

thread_local! {
    /// Whether the current call on this thread has begun to write.
    // INVARIANT: A call of the client library runs from start to end on the thread that made it.
    static WRITTEN: Cell<bool> = const { Cell::new(false) };
}

/// Runs a call of the client library; also returns whether it began to write to a connection.
pub(crate) fn track_writes<T>(call: impl FnOnce() -> T) -> (T, bool) {
    WRITTEN.set(false);
    let result = call();
    (result, WRITTEN.get())
}

/// Number of times that the connections of a client were discarded; clones share it.
///
/// The client library keeps a connection after a complete reply, whichever request the reply
/// belongs to. After a foreign one the connection is a reply behind, and the library can't be told
/// to close it; connections that were opened before the last discard count as closed instead.
#[derive(Debug, Clone, Default)]
pub(crate) struct Discards(Arc<AtomicU64>);

impl Discards {
    /// Discards all connections that are open now. Requests in flight on them go on.
    pub(crate) fn discard(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Opens TCP connections that record writes in [`WRITTEN`] and obey [`Discards`].
#[derive(Debug, Default)]
pub(crate) struct WriteTrackingConnector {
    tcp: TcpConnector,
    discards: Discards,
}

impl WriteTrackingConnector {
    /// Creates a connector whose connections end with the next one of `discards`.
    pub(crate) fn new(discards: Discards) -> Self {
        Self {
            tcp: TcpConnector::default(),
            discards,
        }
    }
}

impl Connector for WriteTrackingConnector {
    type Out = WriteTrackingTransport<<TcpConnector as Connector>::Out>;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        chained: Option<()>,
    ) -> Result<Option<Self::Out>, Error> {
        let opened_after = self.discards.count();
        let transport = self.tcp.connect(details, chained)?;
        Ok(transport.map(|tcp| WriteTrackingTransport {
            tcp,
            discards: self.discards.clone(),
            opened_after,
        }))
    }
}

/// A connection that records writes in [`WRITTEN`] and obeys [`Discards`].
#[derive(Debug)]
pub(crate) struct WriteTrackingTransport<T> {
    tcp: T,
    discards: Discards,
    /// Number of discards before it was opened.
    opened_after: u64,
}

impl<T> Transport for WriteTrackingTransport<T>
where
    T: Transport,
{
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.tcp.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        // Recorded before the write, since a write that fails may have sent some bytes.
        WRITTEN.set(true);
        self.tcp.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        self.tcp.await_input(timeout)
    }

    fn is_open(&mut self) -> bool {
        self.opened_after == self.discards.count() && self.tcp.is_open()
    }
}
