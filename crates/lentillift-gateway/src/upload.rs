//! Bodies of callers' requests that are being received, within the memory that the host has for them.

use crate::body_memory::BodyMemory;
use crate::body_memory::Growth;
use crate::body_memory::Reservation;
use crate::waiting::Ticket;
use crate::waiting::Waiting;
use bytes::Bytes;
use lentillift_http::body::Body;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// The host has no memory for a body, or needs the body's memory for another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NoMemory;

/// All bodies that are being received, and the memory for them and for those that are complete.
#[derive(Debug)]
pub struct Uploads {
    memory: Rc<RefCell<BodyMemory>>,
    waiting: RefCell<Waiting>,
    open: RefCell<HashMap<Ticket, Rc<State>>>,
    given_up: Cell<u64>,
}

/// What is received so far of one body, and the signal that it is given up.
#[derive(Debug)]
struct State {
    /// None once the body is given up.
    partial: RefCell<Option<Partial>>,
    given_up: Notify,
}

#[derive(Debug)]
struct Partial {
    body: Body,
    // INVARIANT: Holds at least the memory of `body`.
    reservation: Reservation,
}

impl Uploads {
    /// Creates it with `bytes` of memory for bodies.
    pub(crate) fn new(bytes: usize) -> Self {
        Self {
            memory: Rc::new(RefCell::new(BodyMemory::new(bytes))),
            waiting: RefCell::default(),
            open: RefCell::default(),
            given_up: Cell::new(0),
        }
    }

    /// Number of bytes that callers' bodies hold.
    pub(crate) fn bytes(&self) -> usize {
        self.memory.borrow().used()
    }

    /// Number of bodies that were given up for others.
    pub(crate) fn given_up(&self) -> u64 {
        self.given_up.get()
    }

    /// Begins to receive a body.
    pub(crate) fn begin(&self) -> Upload<'_> {
        let partial = Partial {
            body: Body::default(),
            reservation: self.reservation(),
        };
        let state = Rc::new(State {
            partial: RefCell::new(Some(partial)),
            given_up: Notify::new(),
        });
        let ticket = self.waiting.borrow_mut().begin();
        self.open.borrow_mut().insert(ticket, state.clone());
        Upload {
            uploads: self,
            ticket,
            state,
        }
    }

    /// Creates an empty reservation of the memory for bodies.
    pub(crate) fn reservation(&self) -> Reservation {
        Reservation::new(&self.memory)
    }

    /// Gives up another body for the one of `ticket`; returns whether there was one to give up.
    fn make_room(&self, ticket: Ticket) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        let Some(other) = waiting.body_to_give_up(ticket) else {
            return false;
        };
        waiting.end(other);
        if let Some(state) = self.open.borrow_mut().remove(&other) {
            // Frees its memory now, not when its task runs.
            state.partial.replace(None);
            state.given_up.notify_one();
        }
        self.given_up.set(self.given_up.get() + 1);
        true
    }
}

/// A body that is being received.
#[derive(Debug)]
pub(crate) struct Upload<'a> {
    uploads: &'a Uploads,
    ticket: Ticket,
    state: Rc<State>,
}

impl Upload<'_> {
    /// Length of what came so far, in bytes.
    pub(crate) fn len(&self) -> usize {
        let partial = self.state.partial.borrow();
        partial.as_ref().map_or(0, |partial| partial.body.len())
    }

    /// Waits until it is given up for another body.
    pub(crate) async fn given_up(&self) {
        self.state.given_up.notified().await;
    }

    /// Appends a part.
    ///
    /// # Errors
    ///
    /// When the body is to be given up, or has been.
    pub(crate) fn push(&self, part: Bytes) -> Result<(), NoMemory> {
        loop {
            let mut partial = self.state.partial.borrow_mut();
            let Partial { body, reservation } = partial.as_mut().ok_or(NoMemory)?;
            let more = body.growth(part.len());
            if reservation.grow(more) == Growth::Granted {
                body.push(part);
                reservation.shrink_to(body.memory());
                let held = reservation.held();
                self.uploads
                    .waiting
                    .borrow_mut()
                    .set_held(self.ticket, held);
                return Ok(());
            }
            drop(partial);
            if !self.uploads.make_room(self.ticket) {
                return Err(NoMemory);
            }
        }
    }

    /// Returns the complete body, with its memory.
    ///
    /// # Errors
    ///
    /// When the body has been given up.
    pub(crate) fn finish(self) -> Result<(Bytes, Reservation), NoMemory> {
        let partial = self.state.partial.take().ok_or(NoMemory)?;
        let Partial {
            body,
            mut reservation,
        } = partial;
        let body = body.finish();
        reservation.shrink_to(body.len());
        Ok((body, reservation))
    }
}

impl Drop for Upload<'_> {
    fn drop(&mut self) {
        self.uploads.waiting.borrow_mut().end(self.ticket);
        self.uploads.open.borrow_mut().remove(&self.ticket);
    }
}
