//! Where a stream began that a request resumes.

use std::rc::Rc;
use std::time::Duration;

use crate::directory::SoftwareVersion;
use crate::entry::error::CallerError;
use crate::entry::request::Job;
use crate::entry::state::EntryState;
use crate::stream_origins::StreamId;

/// Retry delay where no upstream runs the version of a stream.
const NO_VERSION_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Returns the software version at which a request resumes its stream; `None` if it
/// begins one. A stream of a split route is resumed at the service that began it.
///
/// # Errors
///
/// Fails if the version can't be told, or if no upstream runs it.
pub(super) async fn find_origin(
    state: &EntryState,
    job: &mut Job,
) -> Result<Option<SoftwareVersion>, CallerError> {
    if !job.resumes_stream() {
        return Ok(None);
    }
    state.wait_for_upstreams(job).await;
    let organisation = &job.admission.organisation;
    let stream = job.resumes.as_ref();
    let stream = stream.map(|id| StreamId::new(organisation, id));
    let timeout = state.answer_timeout(job);
    let route = Rc::clone(&job.admission.route);
    let is_split = route.targets().count() > 1;
    // Boxed, since the future of each request would be larger otherwise.
    let found = Box::pin(state.streams.find(&job.target, is_split, stream, timeout));
    let found = found.await;
    let found = found.map_err(|e| CallerError::VersionUnavailable(e.retry_after))?;
    let origin = found.version;
    let is_routed = job.target == found.service || route.targets().any(|s| *s == found.service);
    job.target = found.service;
    if !is_routed || !state.has_version(job, &origin) {
        return Err(CallerError::VersionUnavailable(NO_VERSION_RETRY_AFTER));
    }
    Box::pin(state.wait_for_connections(job, &origin)).await;
    Ok(Some(origin))
}
