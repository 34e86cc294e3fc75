//! What the page and its plots share: the reports of a variant, and text made safe for HTML.

use crate::report::Report;

/// The reports of a variant under one scenario, by seed.
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
