//! Connections that know whether anything was written to them.
//!
//! An error of the client library does not say whether it arose before or after the first byte left:
//! a timeout of the whole call may strike while the connection is being opened, and an I/O error
//! may come from opening it or from reading the reply. Guessed wrong in one direction, a request
//! that ran is reported as "not run" and its caller files it again; in the other, a dead backend
//! server makes all requests "unknown". Here the write itself is noted, so that neither is guessed.

use std::cell::Cell;
use ureq::Error;
use ureq::unversioned::transport::Buffers;
use ureq::unversioned::transport::ConnectionDetails;
use ureq::unversioned::transport::Connector;
use ureq::unversioned::transport::NextTimeout;
use ureq::unversioned::transport::TcpConnector;
use ureq::unversioned::transport::Transport;

thread_local! {
    /// Whether this thread's present call has begun to write.
    // INVARIANT: A call of the client library runs on the thread that made it, from start to end.
    static WRITTEN: Cell<bool> = const { Cell::new(false) };
}

/// Runs a call of the client library and says whether it began to write to a connection.
pub(crate) fn watch<T>(call: impl FnOnce() -> T) -> (T, bool) {
    WRITTEN.set(false);
    let result = call();
    (result, WRITTEN.get())
}

/// Opens connections over TCP that note each write.
#[derive(Debug, Default)]
pub(crate) struct Watching {
    tcp: TcpConnector,
}

impl Connector for Watching {
    type Out = Watched<<TcpConnector as Connector>::Out>;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        chained: Option<()>,
    ) -> Result<Option<Self::Out>, Error> {
        let transport = self.tcp.connect(details, chained)?;
        Ok(transport.map(Watched))
    }
}

/// A connection that notes each write.
#[derive(Debug)]
pub(crate) struct Watched<T>(T);

impl<T> Transport for Watched<T>
where
    T: Transport,
{
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.0.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        // Noted before the write, since a write that fails may have sent a part.
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
