//! A micro-kernel: starts and stops the services of a process, which share
//! objects by name through a registry.
//!
//! Services start in the order in which they were added and stop in reverse
//! order. All services run on one thread.

use std::any::Any;
use std::collections::BTreeMap;
use std::rc::Rc;

use futures::future::LocalBoxFuture;
use thiserror::Error;

use crate::name::Name;

/// A component of a process that is started and stopped separately.
pub trait Service {
    /// Returns the name of the service.
    fn name(&self) -> Name;

    /// Starts the service. It can publish objects in the registry and find
    /// those of services that started before it.
    fn start<'a>(
        &'a self,
        registry: &'a mut Registry,
    ) -> LocalBoxFuture<'a, Result<(), KernelError>>;

    /// Stops the service. Completes when the work that is still running has
    /// ended.
    fn stop(&self) -> LocalBoxFuture<'_, ()>;
}

/// Errors while services start.
#[derive(Debug, Error)]
pub enum KernelError {
    /// No object is published under this name.
    #[error("no service named {0}")]
    NotFound(Name),
    /// The object under this name has another type.
    #[error("service {0} is not of the expected type")]
    WrongType(Name),
    /// An object is already published under this name.
    #[error("service {0} is already registered")]
    AlreadyRegistered(Name),
    /// The service failed to start.
    #[error("service {name} failed to start")]
    Failed {
        /// The name of the service.
        name: Name,
        /// The cause of the failure.
        #[source]
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}

/// The objects that services have published, by name.
#[derive(Default)]
pub struct Registry {
    objects: BTreeMap<Name, Rc<dyn Any>>,
}

impl Registry {
    /// Publishes an object under `name`.
    pub fn publish<T>(&mut self, name: Name, object: Rc<T>) -> Result<(), KernelError>
    where
        T: 'static,
    {
        if self.objects.contains_key(&name) {
            return Err(KernelError::AlreadyRegistered(name));
        }
        self.objects.insert(name, object);
        Ok(())
    }

    /// Returns the object that is published under `name`.
    pub fn find<T>(&self, name: &str) -> Result<Rc<T>, KernelError>
    where
        T: 'static,
    {
        let object = self
            .objects
            .get(name)
            .ok_or_else(|| KernelError::NotFound(Name::new(name)))?;
        Rc::clone(object)
            .downcast::<T>()
            .map_err(|_| KernelError::WrongType(Name::new(name)))
    }
}

/// Starts services in order and stops them in reverse order.
#[derive(Default)]
pub struct Kernel {
    services: Vec<Box<dyn Service>>,
    registry: Registry,
    started: usize,
}

impl Kernel {
    /// Creates a kernel without services.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a service. It starts after those that were added before it.
    pub fn with_service<S>(mut self, service: S) -> Self
    where
        S: Service + 'static,
    {
        self.services.push(Box::new(service));
        self
    }

    /// Adds a boxed service, as [`Kernel::with_service`] does.
    pub fn with_boxed_service(mut self, service: Box<dyn Service>) -> Self {
        self.services.push(service);
        self
    }

    /// Starts the services in order. If one fails, stops those that have
    /// already started and returns the error.
    pub async fn start(&mut self) -> Result<(), KernelError> {
        for i in 0..self.services.len() {
            let result = self.services[i].start(&mut self.registry).await;
            if let Err(e) = result {
                self.stop().await;
                return Err(e);
            }
            self.started = i + 1;
        }
        Ok(())
    }

    /// Returns the objects that the services have published.
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
