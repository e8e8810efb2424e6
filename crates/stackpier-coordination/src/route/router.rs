// SPDX-License-Identifier: Apache-2.0
//! The routing state of all services of one daemon.

use std::collections::BTreeMap;

use stackpier_core::Name;
use stackpier_protocol::peer::Endpoint;

use super::{Options, Service};

/// Router holds the routing state of all services.
#[derive(Debug)]
pub struct Router {
    options: Options,
    services: BTreeMap<Name, Service>,
}

impl Router {
    /// new returns a router without services.
    pub fn new(options: Options) -> Router {
        Router {
            options,
            services: BTreeMap::new(),
        }
    }

    /// service returns the state of a service, created on first use.
    pub fn service(&mut self, name: Name) -> &mut Service {
        let options = self.options;
        self.services
            .entry(name)
            .or_insert_with(|| Service::new(options))
    }

    /// update replaces the upstreams of all services by the current endpoints.
    pub fn update(&mut self, endpoints: &[Endpoint]) {
        let mut by_service: BTreeMap<Name, Vec<Endpoint>> = BTreeMap::new();
        for endpoint in endpoints {
            by_service
                .entry(endpoint.service)
                .or_default()
                .push(*endpoint);
        }
        for (name, service) in &mut self.services {
            let none = Vec::new();
            service.update(by_service.get(name).unwrap_or(&none));
        }
        for (name, endpoints) in by_service {
            self.service(name).update(&endpoints);
        }
    }

    /// names returns the services that have state.
    pub fn names(&self) -> impl Iterator<Item = Name> {
        self.services.keys().copied()
    }
}
