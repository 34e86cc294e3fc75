//! Shared by the page and its plots: the reports of a variant, and escaping of text for HTML.

use crate::report::Report;

/// The reports of a variant for one scenario, in order of the seeds.
pub(super) struct VariantReports<'a> {
    pub(super) variant: &'a str,
    pub(super) reports: Vec<&'a Report>,
}

/// Escapes text for HTML.
pub(super) fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
