//! Memory for long heads, shared by the connections of a server.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::task::Context;
use std::task::Waker;

#[cfg(test)]
mod tests;

/// The part of a head that the memory of its connection covers, in bytes.
const COVERED_BYTES: usize = 4 << 10;

/// The memory that heads take beyond that of their connections.
#[derive(Debug, Default)]
pub(super) struct HeadBudget {
    reserved: Cell<u64>,
    /// The connections that wait for memory.
    waiting: RefCell<Vec<Waker>>,
}

/// The memory of one head, released on drop.
#[derive(Debug)]
pub(super) struct HeadReservation {
    budget: Rc<HeadBudget>,
    bytes: u64,
}

impl HeadReservation {
    pub(super) fn new(budget: &Rc<HeadBudget>) -> Self {
        Self {
            budget: Rc::clone(budget),
            bytes: 0,
        }
    }

    /// Reserves the memory of a head of `length` bytes, where `limit` bytes are allowed for
    /// all heads. Returns whether it is reserved. The only long head always fits.
    pub(super) fn resize(&mut self, length: usize, limit: u64) -> bool {
        let bytes = match length {
            0..=COVERED_BYTES => 0,
            // Read buffers grow to the next power of two.
            _ => length.next_power_of_two() as u64,
        };
        if bytes <= self.bytes {
            return true;
        }
        let others = self.budget.reserved.get() - self.bytes;
        if others > 0 && others + bytes > limit {
            return false;
        }
        self.budget.reserved.set(others + bytes);
        self.bytes = bytes;
        true
    }

    /// Wakes the task of `cx` when memory is released.
    pub(super) fn wait(&self, cx: &Context<'_>) {
        let mut waiting = self.budget.waiting.borrow_mut();
        if !waiting.iter().any(|w| w.will_wake(cx.waker())) {
            waiting.push(cx.waker().clone());
        }
    }

    /// Releases the memory.
    pub(super) fn release(&mut self) {
        if self.bytes > 0 {
            let budget = &self.budget;
            budget.reserved.set(budget.reserved.get() - self.bytes);
            self.bytes = 0;
            let waiting = budget.waiting.take();
            waiting.into_iter().for_each(Waker::wake);
        }
    }
}

impl Drop for HeadReservation {
    fn drop(&mut self) {
        self.release();
    }
}
