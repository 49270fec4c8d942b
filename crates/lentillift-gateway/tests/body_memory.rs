//! Division of the memory for bodies under crowds of large and endless ones.

use lentillift_gateway::body_memory::BodyMemory;
use lentillift_gateway::body_memory::Growth;
use lentillift_gateway::body_memory::Reservation;
use proptest::prelude::*;
use std::cell::RefCell;
use std::rc::Rc;

/// Size of the memory, in bytes.
const TOTAL: usize = 32 << 20;

/// Size of one read, in bytes.
const READ: usize = 4096;

/// Grows each of `count` replies by one read in turn, until all are denied. Returns what each holds.
fn flood(memory: &mut BodyMemory, count: usize) -> Vec<usize> {
    let mut held = vec![0; count];
    let mut growing = true;
    while growing {
        growing = false;
        for reply in &mut held {
            if memory.grow(*reply, READ) == Growth::Granted {
                *reply += READ;
                growing = true;
            }
        }
    }
    held
}

/// A single large reply may take nearly half of the memory.
#[test]
fn one_reply_may_be_large() {
    let mut memory = BodyMemory::new(TOTAL);
    assert!(flood(&mut memory, 1)[0] > TOTAL / 2 - 2 * READ);
}

/// Hundreds of endless bodies that are not given up yet leave room for another reply of 30 KB, and
/// exceed nothing.
#[test]
fn endless_bodies_leave_room_for_others() {
    let mut memory = BodyMemory::new(TOTAL);
    let endless = flood(&mut memory, 500);
    assert!(endless.iter().sum::<usize>() <= TOTAL);
    assert_eq!(memory.grow(0, 25_000), Growth::Granted);
    assert_eq!(memory.grow(25_000, 5_000), Growth::Granted);
}

/// Memory that is returned can be used again.
#[test]
fn released_memory_is_free() {
    let mut memory = BodyMemory::new(TOTAL);
    for held in flood(&mut memory, 9) {
        memory.release(held);
    }
    assert_eq!(memory.used(), 0);
    assert_eq!(memory.grow(0, TOTAL / 2), Growth::Granted);
}

proptest! {
    /// Whatever replies grow and end, the memory is never exceeded, and what they hold is counted.
    #[test]
    fn the_memory_is_never_exceeded(steps in prop::collection::vec((0..8usize, 0..TOTAL / 3, any::<bool>()), 0..60)) {
        let mut memory = BodyMemory::new(TOTAL);
        let mut held = [0; 8];
        for (reply, more, ends) in steps {
            if ends {
                memory.release(std::mem::take(&mut held[reply]));
            } else if memory.grow(held[reply], more) == Growth::Granted {
                held[reply] += more;
            }
            prop_assert_eq!(memory.used(), held.iter().sum::<usize>());
            prop_assert!(memory.used() <= TOTAL);
        }
    }
}

/// What a reservation holds is returned when it shrinks and when it is dropped.
#[test]
fn reservations_return_their_memory() {
    let memory = Rc::new(RefCell::new(BodyMemory::new(TOTAL)));
    let mut reservation = Reservation::new(&memory);
    assert_eq!(reservation.grow(1000), Growth::Granted);
    assert_eq!(reservation.grow(TOTAL), Growth::Denied);
    reservation.shrink_to(400);
    assert_eq!((reservation.held(), memory.borrow().used()), (400, 400));
    drop(reservation);
    assert_eq!(memory.borrow().used(), 0);
}
