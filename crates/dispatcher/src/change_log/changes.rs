//! Reads the JSON of an answer change by change, without holding all of it.
use crate::change_decoding::ChangeLogError;
use crate::config::Nesting;
use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::Value;
use std::fmt;
use std::io::{self, Read};

/// Called with each change of an answer.
pub type OnChange<'a> = dyn FnMut(&Value) -> Result<(), ChangeLogError> + 'a;

/// Reads the body of an answer. Returns the number of the log's last change.
pub(super) fn read_changes(body: impl Read, on_change: &mut OnChange) -> Result<Option<u64>, ChangeLogError> {
    let mut fault = None;
    let mut json = serde_json::Deserializer::from_reader(DepthLimited { body, nesting: Nesting::default() });
    let result = AnswerVisitor { on_change, fault: &mut fault }.deserialize(&mut json);
    match result.and_then(|seq| json.end().map(|()| seq)) {
        Ok(seq) => Ok(seq),
        Err(error) => Err(fault.unwrap_or_else(|| match error.is_io() {
            true => io::Error::from(error)
                .downcast::<ChangeLogError>()
                .unwrap_or_else(ChangeLogError::Interrupted),
            false => ChangeLogError::NotJson,
        })),
    }
}

/// Rejects JSON that is nested too deep for the stack of the thread that reads it.
struct DepthLimited<R> {
    body: R,
    nesting: Nesting,
}

impl<R: Read> Read for DepthLimited<R> {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        let length = self.body.read(into)?;
        if self.nesting.is_too_deep(&into[..length]) {
            return Err(io::Error::other(ChangeLogError::TooDeep));
        }
        Ok(length)
    }
}

/// Reads the JSON of an answer, `{"seq":LAST,"results":[...]}`, change by change.
struct AnswerVisitor<'a, 'b> {
    on_change: &'a mut OnChange<'b>,
    fault: &'a mut Option<ChangeLogError>,
}

impl<'de> DeserializeSeed<'de> for AnswerVisitor<'_, '_> {
    type Value = Option<u64>;
    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<Option<u64>, D::Error> {
        from.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for AnswerVisitor<'_, '_> {
    type Value = Option<u64>;
    fn expecting(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str("an answer of the change log")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Option<u64>, A::Error> {
        let (mut seq, mut has_results) = (None, false);
        while let Some(key) = map.next_key::<String>()? {
            match &key[..] {
                "seq" => seq = map.next_value::<Value>()?.as_u64(),
                "results" => {
                    has_results = true;
                    map.next_value_seed(ResultsVisitor {
                        on_change: &mut *self.on_change,
                        fault: &mut *self.fault,
                    })?;
                }
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        has_results.then_some(seq).ok_or_else(|| serde::de::Error::missing_field("results"))
    }
}

/// Reads the list of changes.
struct ResultsVisitor<'a, 'b> {
    on_change: &'a mut OnChange<'b>,
    fault: &'a mut Option<ChangeLogError>,
}

impl<'de> DeserializeSeed<'de> for ResultsVisitor<'_, '_> {
    type Value = ();
    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<(), D::Error> {
        from.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for ResultsVisitor<'_, '_> {
    type Value = ();
    fn expecting(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str("a list of changes")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<(), A::Error> {
        while let Some(result) = list.next_element::<Value>()? {
            if let Err(fault) = (self.on_change)(&result) {
                *self.fault = Some(fault);
                return Err(serde::de::Error::custom("a change was rejected"));
            }
        }
        Ok(())
    }
}
