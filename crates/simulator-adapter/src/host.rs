//! Holds the policy instances that the simulator runs and the endpoint lists that it has sent.

use std::collections::HashMap;

use routing_policy::{Action, Endpoint, Event, ListUpdate, Micros, Policy, Request, settings};

use crate::actions::Reply;
use crate::error::{AdapterError, HostError};
use crate::events::{BatchBody, BatchHeader, EventRecord};

/// Number of endpoint lists; they are numbered from 0.
const MAX_LISTS: usize = 16;

/// A policy instance and the limits for checking its requests.
struct Instance {
    policy: Policy,
    /// Number of classes in the instance's settings.
    classes: usize,
    /// Number of tenants in the instance's settings.
    tenants: usize,
}

impl Instance {
    fn start(settings: &[u8], seed: u64) -> Result<Instance, HostError> {
        let settings = settings::read(settings)?.settings;
        Ok(Instance {
            classes: settings.classes.len(),
            tenants: settings.tenants.len(),
            policy: Policy::new(settings, seed),
        })
    }

    /// Rejects a request whose class or tenant the settings do not define. The policy uses both as indices.
    fn check(&self, request: &Request) -> Result<(), HostError> {
        if request.class >= self.classes {
            return Err(HostError::UnknownClass {
                class: request.class,
            });
        }
        // Settings without tenants have a single implicit tenant with index 0.
        if request.tenant >= self.tenants.max(1) {
            return Err(HostError::UnknownTenant {
                tenant: request.tenant,
            });
        }
        Ok(())
    }
}

/// All policy instances, the endpoint lists, and the reply to the current batch.
#[derive(Default)]
pub struct PolicyHost {
    instances: HashMap<u16, Instance>,
    lists: [Option<Vec<Endpoint>>; MAX_LISTS],
    /// Actions of the current event. The buffer is reused.
    actions: Vec<Action>,
    reply: Reply,
}

impl PolicyHost {
    /// Passes the events of a batch to their instances, in order, and writes the reply into `frame`.
    ///
    /// # Errors
    /// Returns an error if a record is malformed or inconsistent with earlier ones. No reply is written in that
    /// case.
    pub fn handle_batch(
        &mut self,
        header: BatchHeader,
        body: BatchBody<'_>,
        frame: &mut Vec<u8>,
    ) -> Result<(), AdapterError> {
        let batch = header.number;
        for (index, record) in body.events().enumerate() {
            let record = record.map_err(|source| AdapterError::MalformedRecord {
                batch,
                index,
                source,
            })?;
            self.handle_record(header.now, record)
                .map_err(|source| AdapterError::RejectedEvent { batch, source })?;
        }
        self.reply.finish(batch, frame);
        Ok(())
    }

    fn handle_record(&mut self, now: Micros, record: EventRecord<'_>) -> Result<(), HostError> {
        match record {
            EventRecord::Start {
                instance,
                seed,
                settings,
            } => {
                let started = Instance::start(settings, seed)?;
                self.instances.insert(instance, started);
                Ok(())
            }
            EventRecord::Stop { instance } => match self.instances.remove(&instance) {
                Some(_) => Ok(()),
                None => Err(HostError::UnknownInstanceStopped { instance }),
            },
            EventRecord::EndpointList { number, endpoints } => self.store_list(number, endpoints),
            EventRecord::ListUpdate {
                instance,
                update,
                number,
            } => {
                let endpoints = self.listed_endpoints(update, number)?;
                self.handle_event(now, instance, Event::EndpointList { update, endpoints })
            }
            EventRecord::Event { instance, event } => self.handle_event(now, instance, event),
        }
    }

    fn store_list(&mut self, number: u16, endpoints: Vec<Endpoint>) -> Result<(), HostError> {
        let slot = self
            .lists
            .get_mut(usize::from(number))
            .ok_or(HostError::ListNumberTooHigh { number })?;
        *slot = Some(endpoints);
        Ok(())
    }

    /// The endpoints of a list update; empty if the update carries no list.
    fn listed_endpoints(
        &self,
        update: ListUpdate,
        number: u16,
    ) -> Result<Vec<Endpoint>, HostError> {
        if matches!(update, ListUpdate::Failed | ListUpdate::WatchStalled) {
            return Ok(Vec::new());
        }
        let list = self.lists.get(usize::from(number)).and_then(Option::as_ref);
        list.cloned().ok_or(HostError::UnknownList { number })
    }

    fn handle_event(&mut self, now: Micros, number: u16, event: Event) -> Result<(), HostError> {
        let instance = self
            .instances
            .get_mut(&number)
            .ok_or(HostError::UnknownInstance { instance: number })?;
        if let Event::Request(request) = &event {
            instance.check(request)?;
        }
        instance.policy.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            self.reply.push(number, &action);
        }
        Ok(())
    }
}
