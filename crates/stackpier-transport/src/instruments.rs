// SPDX-License-Identifier: Apache-2.0
//! A daemon's `opentelemetry` instruments, exported in the Prometheus text
//! format.

use anyhow::Result;
use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// METER is the name of the meter that creates the instruments.
const METER: &str = "stackpier";

/// Instruments creates the instruments of one daemon and exports their values.
pub struct Instruments {
    registry: Registry,
    /// Held because dropping the provider would stop the instruments.
    _provider: SdkMeterProvider,
    meter: Meter,
}

impl Instruments {
    /// new returns a registry without instruments.
    pub fn new() -> Result<Instruments> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Instruments {
            registry,
            meter: provider.meter(METER),
            _provider: provider,
        })
    }

    /// counter creates a counter.
    pub fn counter(&self, name: &'static str) -> Counter<u64> {
        self.meter.u64_counter(name).build()
    }

    /// seconds creates a histogram of durations in seconds; `bounds` are the
    /// upper bounds of its buckets.
    pub fn seconds(&self, name: &'static str, bounds: &[f64]) -> Histogram<f64> {
        self.meter
            .f64_histogram(name)
            .with_boundaries(bounds.to_vec())
            .build()
    }

    /// meter returns the meter, which creates instruments of other kinds.
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    /// text returns all metrics in the Prometheus text format.
    pub fn text(&self) -> Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
