use std::cell::RefCell;
use std::rc::Rc;

use super::*;

/// An output that accepts `capacity` bytes and then would block.
#[derive(Clone, Default)]
struct Pipe {
    written: Rc<RefCell<Vec<u8>>>,
    capacity: Rc<RefCell<usize>>,
}

impl Write for Pipe {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut capacity = self.capacity.borrow_mut();
        if *capacity == 0 && !buf.is_empty() {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        let length = buf.len().min(*capacity);
        *capacity -= length;
        self.written.borrow_mut().extend_from_slice(&buf[..length]);
        Ok(length)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_are_dropped_without_blocking_when_the_reader_stops() {
    let pipe = Pipe::default();
    *pipe.capacity.borrow_mut() = 10;
    let mut lines = LineLimiter::new(pipe.clone());
    for _ in 0..100 {
        lines
            .write_all(b"{\"msg\":\"a line\"}\n")
            .expect("never fails");
    }
    assert_eq!(lines.dropped, 99);
    *pipe.capacity.borrow_mut() = usize::MAX;
    lines
        .write_all(b"{\"msg\":\"last\"}\n")
        .expect("never fails");
    let written = String::from_utf8(pipe.written.borrow().clone()).expect("text");
    assert_eq!(written, "{\"msg\":\"a line\"}\n{\"msg\":\"last\"}\n");
}

#[test]
fn lines_above_the_rate_limit_are_counted_as_dropped() {
    let pipe = Pipe::default();
    *pipe.capacity.borrow_mut() = usize::MAX;
    let mut lines = LineLimiter::new(pipe);
    for _ in 0..10_000 {
        lines.write_all(b"x\n").expect("never fails");
    }
    assert!(lines.dropped > 0);
}
