//! Connections that record whether anything was written to them.
//!
//! An error of the client library does not state whether it occurred before or after the first byte
//! was sent: the timeout of the whole call may expire while the connection is being opened, and an
//! I/O error may come from opening it or from reading the reply. A wrong guess in one direction
//! reports a request that ran as "not run", and its caller files it again; in the other direction,
//! a dead backend server makes all requests "unknown". Recording the write itself avoids the guess.

use std::cell::Cell;
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

/// Opens TCP connections that record writes in [`WRITTEN`].
#[derive(Debug, Default)]
pub(crate) struct WriteTrackingConnector {
    tcp: TcpConnector,
}

impl Connector for WriteTrackingConnector {
    type Out = WriteTrackingTransport<<TcpConnector as Connector>::Out>;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        chained: Option<()>,
    ) -> Result<Option<Self::Out>, Error> {
        let transport = self.tcp.connect(details, chained)?;
        Ok(transport.map(WriteTrackingTransport))
    }
}

/// A connection that records writes in [`WRITTEN`].
#[derive(Debug)]
pub(crate) struct WriteTrackingTransport<T>(T);

impl<T> Transport for WriteTrackingTransport<T>
where
    T: Transport,
{
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.0.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        // Recorded before the write, since a write that fails may have sent some bytes.
        WRITTEN.set(true);
        self.0.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        self.0.await_input(timeout)
    }

    fn is_open(&mut self) -> bool {
        self.0.is_open()
    }
}
