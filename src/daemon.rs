//! Runs the services of a daemon until it is told to stop.

use slog::Logger;
use slog::info;
use slog::warn;
use thiserror::Error;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::kernel::Kernel;
use crate::kernel::KernelError;

/// Why a daemon ended early.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// A service did not start.
    #[error(transparent)]
    Kernel(#[from] KernelError),
    /// Signals can't be received.
    #[error("cannot receive signals")]
    Signals(#[source] std::io::Error),
    /// A second signal came while requests were still in flight.
    #[error("stopped by a second signal before all requests had ended")]
    Interrupted,
}

/// Settings are followed as they change, so a hangup only has to be survived.
async fn log_hangups(mut hangup: Signal, log: Logger) {
    while hangup.recv().await.is_some() {
        info!(log, "told to reload; settings are followed as they change");
    }
}

/// Starts the services, waits for SIGTERM or SIGINT, and stops them again.
/// A second signal ends the wait for requests in flight.
pub async fn run(mut kernel: Kernel, log: Logger) -> Result<(), DaemonError> {
    let mut stop = StopSignals::new().map_err(DaemonError::Signals)?;
    let hangup = signal(SignalKind::hangup()).map_err(DaemonError::Signals)?;
    actix_rt::spawn(log_hangups(hangup, log.clone()));
    kernel.start().await?;
    info!(log, "started");
    stop.next().await;
    info!(log, "stopping");
    tokio::select! {
        () = kernel.stop() => {
            info!(log, "stopped");
            Ok(())
        }
        () = stop.next() => {
            warn!(log, "stopped at once");
            Err(DaemonError::Interrupted)
        }
    }
}

struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
