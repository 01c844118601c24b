//! The output format that the metrics of all processes share.

use std::fmt::Write;

use prometheus_client::encoding::EncodeLabelValue;
use prometheus_client::encoding::LabelValueEncoder;
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

use crate::name::Name;

/// The content type of the text that [`render`] returns.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Returns the metrics of `registry` in the OpenMetrics text format.
pub fn render(registry: &Registry) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = encode(&mut text, registry);
    text
}

impl EncodeLabelValue for Name {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), std::fmt::Error> {
        encoder.write_str(self.as_str())
    }
}
