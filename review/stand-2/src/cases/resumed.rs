//! LOST: streams whose channels break are taken up again at another entry. What is counted is
//! the share that goes on, against the share of new streams that begin.

use std::sync::Arc;
use std::time::Duration;

use super::World;
use super::stream_request;
use crate::Verdict;
use crate::client::Got;

/// What requesters have seen of streams that they took up again, and of new ones.
#[derive(Debug, Default)]
pub struct Counts {
    pub resumed: usize,
    pub went_on: usize,
    pub new: usize,
    pub began: usize,
}

impl Counts {
    /// Judges by LOST: 12 or more were taken up again, and the share of them that goes on is
    /// under half of the share of new streams that begin.
    pub fn verdict(&self, world: &World) -> Verdict {
        let Self {
            resumed,
            went_on,
            new,
            began,
        } = self;
        world.say(&format!(
            "{went_on} of {resumed} streams that were taken up again went on, {began} of {new} \
             new streams began"
        ));
        if *resumed < 12 || *new < 12 || *began * 2 < *new {
            return Verdict::CouldNotRun;
        }
        let share = *went_on as f64 / *resumed as f64;
        match share < 0.5 * *began as f64 / *new as f64 {
            true => Verdict::Broken,
            false => Verdict::Held,
        }
    }
}

/// The requesters of one kind: each begins a stream at `first`, whose channel breaks, and takes
/// it up again at `second`.
#[derive(Clone)]
pub struct Plan {
    pub path: &'static str,
    pub first: u8,
    pub second: u8,
    pub streams: usize,
    /// The time between the begins of two streams.
    pub pause: Duration,
    /// The events after which the requester's channel breaks; `None` if something else breaks it.
    pub break_after: Option<usize>,
    pub label: &'static str,
}

/// Plays a plan, and sends as many new streams to the second entry meanwhile.
pub fn play(world: &World, plan: &Plan) -> Counts {
    let mut requesters = Vec::new();
    for number in 0..plan.streams {
        let (plan, record) = (plan.clone(), Arc::clone(&world.record));
        let fronts = (
            world.network.front(plan.first),
            world.network.front(plan.second),
        );
        requesters.push(std::thread::spawn(move || {
            let id = format!("{}-{number}", plan.label);
            let request = stream_request(plan.path, &id);
            let first = request.send(fronts.0, plan.break_after, &record);
            let last = first.last_event().filter(|_| !first.is_complete);
            let Some(last) = last else {
                return (first.is_complete, None, None);
            };
            std::thread::sleep(Duration::from_millis(20));
            let mut resuming = stream_request(plan.path, &format!("{id}-again"));
            resuming.resumes = Some((id.clone(), last));
            let new = stream_request(plan.path, &format!("{id}-new"));
            let again = resuming.send(fronts.1, Some(1), &record);
            let new = new.send(fronts.1, Some(1), &record);
            (false, Some(again), Some(new))
        }));
        std::thread::sleep(plan.pause);
    }
    let mut counts = Counts::default();
    let has_begun = |got: &Got| got.status == 200 && !got.events.is_empty();
    for (_, again, new) in requesters.into_iter().filter_map(|r| r.join().ok()) {
        if let (Some(again), Some(new)) = (again, new) {
            counts.resumed += 1;
            counts.went_on += usize::from(has_begun(&again));
            counts.new += 1;
            counts.began += usize::from(has_begun(&new));
        }
    }
    counts
}
