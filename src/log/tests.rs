use std::cell::RefCell;
use std::rc::Rc;

use super::*;

/// An output that takes so many bytes and then nothing.
#[derive(Clone, Default)]
struct Pipe {
    taken: Rc<RefCell<Vec<u8>>>,
    room: Rc<RefCell<usize>>,
}

impl Write for Pipe {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut room = self.room.borrow_mut();
        if *room == 0 && !buf.is_empty() {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        let length = buf.len().min(*room);
        *room -= length;
        self.taken.borrow_mut().extend_from_slice(&buf[..length]);
        Ok(length)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_stops_costs_lines_and_no_time() {
    let pipe = Pipe::default();
    *pipe.room.borrow_mut() = 10;
    let mut lines = BoundedLines::new(pipe.clone());
    for _ in 0..100 {
        lines
            .write_all(b"{\"msg\":\"a line\"}\n")
            .expect("never fails");
    }
    assert_eq!(lines.dropped, 99);
    *pipe.room.borrow_mut() = usize::MAX;
    lines
        .write_all(b"{\"msg\":\"last\"}\n")
        .expect("never fails");
    let taken = String::from_utf8(pipe.taken.borrow().clone()).expect("text");
    assert_eq!(taken, "{\"msg\":\"a line\"}\n{\"msg\":\"last\"}\n");
}

#[test]
fn lines_beyond_the_rate_are_counted() {
    let pipe = Pipe::default();
    *pipe.room.borrow_mut() = usize::MAX;
    let mut lines = BoundedLines::new(pipe);
    for _ in 0..10_000 {
        lines.write_all(b"x\n").expect("never fails");
    }
    assert!(lines.dropped > 0);
}
