//! Values with a unit. A number without a unit is rejected, as its unit would be ambiguous.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use serde::de::{self, Deserialize, Deserializer, Visitor};
use serde::{Serialize, Serializer};

/// A duration that is written with its unit, such as `10s`, `250ms` or `1m 30s`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HumanDuration(pub Duration);

/// The expected form of a duration, for error messages.
const EXPECTED_FORM: &str = "a time with its unit, such as \"10s\" or \"250ms\"";

impl Display for HumanDuration {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        humantime::format_duration(self.0).fmt(f)
    }
}

impl Serialize for HumanDuration {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for HumanDuration {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<HumanDuration, D::Error> {
        struct DurationVisitor;
        impl Visitor<'_> for DurationVisitor {
            type Value = HumanDuration;

            fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
                f.write_str(EXPECTED_FORM)
            }

            fn visit_str<E: de::Error>(self, text: &str) -> Result<HumanDuration, E> {
                let parsed = humantime::parse_duration(text);
                parsed.map(HumanDuration).map_err(|error| {
                    E::custom(format!("found {text:?} ({error}): write {EXPECTED_FORM}"))
                })
            }
        }
        deserializer.deserialize_str(DurationVisitor)
    }
}
