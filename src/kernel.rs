//! A micro-kernel: services that find each other by name.
//!
//! Services start in the order in which they were added and stop in the
//! reverse order. All of them live on one thread.

use std::any::Any;
use std::collections::BTreeMap;
use std::rc::Rc;

use futures::future::LocalBoxFuture;
use thiserror::Error;

use crate::name::Name;

/// A part of a process with a life of its own.
pub trait Service {
    /// The name under which the service is known.
    fn name(&self) -> Name;

    /// Starts the service; it may publish parts of itself in the registry.
    fn start<'a>(
        &'a self,
        registry: &'a mut Registry,
    ) -> LocalBoxFuture<'a, Result<(), KernelError>>;

    /// Stops the service once what it is running has ended.
    fn stop(&self) -> LocalBoxFuture<'_, ()>;
}

/// What can go wrong while services start.
#[derive(Debug, Error)]
pub enum KernelError {
    /// No service published a part under this name.
    #[error("no service named {0}")]
    NotFound(Name),
    /// The part under this name has another type.
    #[error("service {0} is not of the expected type")]
    WrongType(Name),
    /// Two parts were published under one name.
    #[error("service {0} is registered twice")]
    Twice(Name),
    /// The service failed in its own way.
    #[error("service {name} did not start")]
    Failed {
        /// The service.
        name: Name,
        /// Why it did not start.
        #[source]
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}

/// The parts that started services have published, by name.
#[derive(Default)]
pub struct Registry {
    parts: BTreeMap<Name, Rc<dyn Any>>,
}

impl Registry {
    /// Publishes a part under `name`.
    pub fn publish<T>(&mut self, name: Name, part: Rc<T>) -> Result<(), KernelError>
    where
        T: 'static,
    {
        if self.parts.contains_key(&name) {
            return Err(KernelError::Twice(name));
        }
        self.parts.insert(name, part);
        Ok(())
    }

    /// Finds the part that was published under `name`.
    pub fn find<T>(&self, name: &str) -> Result<Rc<T>, KernelError>
    where
        T: 'static,
    {
        let part = self
            .parts
            .get(name)
            .ok_or_else(|| KernelError::NotFound(Name::new(name)))?;
        Rc::clone(part)
            .downcast::<T>()
            .map_err(|_| KernelError::WrongType(Name::new(name)))
    }
}

/// Runs services in order.
#[derive(Default)]
pub struct Kernel {
    services: Vec<Box<dyn Service>>,
    registry: Registry,
    started: usize,
}

impl Kernel {
    /// A kernel without services.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a service, to be started after those added before it.
    pub fn with_service<S>(mut self, service: S) -> Self
    where
        S: Service + 'static,
    {
        self.services.push(Box::new(service));
        self
    }

    /// Adds a service that is known only by its trait.
    pub fn with_boxed(mut self, service: Box<dyn Service>) -> Self {
        self.services.push(service);
        self
    }

    /// Starts the services in order. On a failure those already started are
    /// stopped again.
    pub async fn start(&mut self) -> Result<(), KernelError> {
        for i in 0..self.services.len() {
            let started = self.services[i].start(&mut self.registry).await;
            if let Err(e) = started {
                self.stop().await;
                return Err(e);
            }
            self.started = i + 1;
        }
        Ok(())
    }

    /// The parts that the services have published.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Stops the started services in reverse order.
    pub async fn stop(&mut self) {
        for service in self.services[..self.started].iter().rev() {
            service.stop().await;
        }
        self.started = 0;
    }
}
