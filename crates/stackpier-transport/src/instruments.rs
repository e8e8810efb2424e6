// SPDX-License-Identifier: Apache-2.0
//! A daemon's `opentelemetry` instruments, read as Prometheus text.

use anyhow::Result;
use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// METER is the name under which the instruments are registered.
const METER: &str = "stackpier";

/// Instruments makes the instruments of one daemon and reads them.
pub struct Instruments {
    registry: Registry,
    /// Keeps the instruments alive.
    _provider: SdkMeterProvider,
    meter: Meter,
}

impl Instruments {
    /// new starts with no instrument.
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

    /// counter makes an instrument that counts up.
    pub fn counter(&self, name: &'static str) -> Counter<u64> {
        self.meter.u64_counter(name).build()
    }

    /// seconds makes a histogram of times in seconds with the upper bounds of
    /// its buckets.
    pub fn seconds(&self, name: &'static str, bounds: &[f64]) -> Histogram<f64> {
        self.meter
            .f64_histogram(name)
            .with_boundaries(bounds.to_vec())
            .build()
    }

    /// meter makes instruments of other kinds.
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    /// text returns all metrics in the text format of Prometheus.
    pub fn text(&self) -> Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
