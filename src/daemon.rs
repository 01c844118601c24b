//! Runs the services of a daemon until a signal stops it.

use slog::Logger;
use slog::info;
use slog::warn;
use thiserror::Error;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::event_loop;
use crate::kernel::Kernel;
use crate::kernel::KernelError;

/// Reasons why a daemon ended with an error.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// A service failed to start.
    #[error(transparent)]
    Kernel(#[from] KernelError),
    /// A signal handler can't be installed.
    #[error("cannot receive signals")]
    Signals(#[source] std::io::Error),
    /// A second signal arrived while requests were still in flight.
    #[error("stopped by a second signal before all requests ended")]
    Interrupted,
}

/// Logs each SIGHUP. The handler keeps the signal from ending the process; a
/// reload is not needed, because changes of the settings apply as they arrive.
async fn log_hangups(mut hangup: Signal, log: Logger) {
    while hangup.recv().await.is_some() {
        info!(
            log,
            "SIGHUP ignored; changes of the settings apply without a reload"
        );
    }
}

/// Starts the services, waits for SIGTERM or SIGINT, and stops the services.
/// A second signal ends the wait for requests in flight.
pub async fn run(mut kernel: Kernel, log: Logger) -> Result<(), DaemonError> {
    let mut stop = StopSignals::new().map_err(DaemonError::Signals)?;
    let hangup = signal(SignalKind::hangup()).map_err(DaemonError::Signals)?;
    actix_rt::spawn(log_hangups(hangup, log.clone()));
    actix_rt::spawn(event_loop::log_stalls(log.clone()));
    kernel.start().await?;
    info!(log, "started");
    stop.recv().await;
    info!(log, "stopping");
    tokio::select! {
        () = kernel.stop() => {
            info!(log, "stopped");
            Ok(())
        }
        () = stop.recv() => {
            warn!(log, "stopped by a second signal");
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

    async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
