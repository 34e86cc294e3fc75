//! Values with a unit. A bare number is refused: nobody should have to guess whether it is seconds.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use serde::de::{self, Deserialize, Deserializer, Visitor};
use serde::{Serialize, Serializer};

/// A time with its unit, such as `10s`, `250ms` or `1m 30s`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Duration);

const FORM: &str = "a time with its unit, such as \"10s\" or \"250ms\"";

impl Display for Span {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        humantime::format_duration(self.0).fmt(f)
    }
}

impl Serialize for Span {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Span, D::Error> {
        struct Text;
        impl Visitor<'_> for Text {
            type Value = Span;

            fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
                f.write_str(FORM)
            }

            fn visit_str<E: de::Error>(self, text: &str) -> Result<Span, E> {
                let parsed = humantime::parse_duration(text);
                parsed
                    .map(Span)
                    .map_err(|e| E::custom(format!("found {text:?} ({e}): write {FORM}")))
            }
        }
        deserializer.deserialize_str(Text)
    }
}
