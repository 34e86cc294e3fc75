//! The commands of clients: what their words and fields mean.

use bytes::Bytes;
use routing_policy::Micros;
use routing_policy::settings::Deployment;
use thiserror::Error;

use crate::message::ClientCommand;

/// The longest key, request id and list of fields, in bytes.
const MAX_WORD_BYTES: usize = 512;
/// The longest time that a client is taken to wait, in microseconds, whatever it or the settings say.
const MAX_DEADLINE: Micros = 60_000_000;

const MICROS_PER_MILLISECOND: f64 = 1e3;

/// A command that a client can send.
#[derive(Debug)]
pub enum Command {
    /// `PING`: is the router ready?
    Ping,
    /// `OBJ.GET` or `OBJ.SET`: a request for the policy.
    Request(ClientCommand),
}

/// A command that the router can't serve: the policy can't be told of a request that names none of its classes. The
/// texts are part of the protocol, since clients are sent them.
#[derive(Debug, PartialEq, Eq, Clone, Copy, Error)]
pub enum CommandError {
    /// Its first word is no known command.
    #[error("unknown command")]
    UnknownCommand,
    /// It has too few or too many words.
    #[error("wrong number of arguments")]
    WrongArgumentCount,
    /// A word is too long, missing, or has characters that would break the framing of a server's protocol.
    #[error("invalid key, id or facts")]
    InvalidWord,
    /// A field is not `name=value`.
    #[error("invalid facts")]
    InvalidField,
    /// It names a class that the settings don't have.
    #[error("unknown class")]
    UnknownClass,
    /// It names a tenant that the settings don't have.
    #[error("unknown tenant")]
    UnknownTenant,
    /// The time that the client waits is no number.
    #[error("invalid d")]
    InvalidDeadline,
    /// It names no class.
    #[error("no class")]
    NoClass,
}

/// Parses the words of a command.
///
/// # Errors
///
/// If it is not a command that the deployment can serve.
pub fn parse(words: &[Bytes], deployment: &Deployment) -> Result<Command, CommandError> {
    let name = words
        .first()
        .map(|name| name.to_ascii_uppercase())
        .unwrap_or_default();
    match name.as_slice() {
        b"PING" => Ok(Command::Ping),
        b"OBJ.GET" => parse_get(words, deployment).map(Command::Request),
        b"OBJ.SET" => parse_set(words, deployment).map(Command::Request),
        _ => Err(CommandError::UnknownCommand),
    }
}

fn parse_get(words: &[Bytes], deployment: &Deployment) -> Result<ClientCommand, CommandError> {
    let [_, key, request_id, fields] = words else {
        return Err(CommandError::WrongArgumentCount);
    };
    parse_request(key, request_id, fields, deployment)
}

fn parse_set(words: &[Bytes], deployment: &Deployment) -> Result<ClientCommand, CommandError> {
    let [_, key, request_id, fields, value] = words else {
        return Err(CommandError::WrongArgumentCount);
    };
    let command = parse_request(key, request_id, fields, deployment)?;
    Ok(ClientCommand {
        is_write: true,
        value: Some(value.clone()),
        ..command
    })
}

/// Parses what a read and a write have in common.
fn parse_request(
    key: &Bytes,
    request_id: &Bytes,
    fields: &Bytes,
    deployment: &Deployment,
) -> Result<ClientCommand, CommandError> {
    // What is forwarded to a server must not break its framing there.
    let words_are_valid = [key, request_id, fields].into_iter().all(is_plain);
    if !words_are_valid || key.is_empty() || request_id.is_empty() {
        return Err(CommandError::InvalidWord);
    }
    let fields = String::from_utf8_lossy(fields).into_owned();
    let parsed = RequestFields::parse(&fields, deployment)?;
    let class = parsed.class.ok_or(CommandError::NoClass)?;
    let class_deadline = deployment.settings.classes[class].deadline;
    Ok(ClientCommand {
        is_write: false,
        key: key.clone(),
        request_id: request_id.clone(),
        fields,
        value: None,
        class,
        tenant: parsed.tenant.unwrap_or(0),
        remaining_deadline: parsed.deadline.unwrap_or(class_deadline).min(MAX_DEADLINE),
        is_retry: parsed.is_retry,
        cost: parsed.cost,
        value_size: parsed.value_size,
    })
}

fn is_plain(word: &Bytes) -> bool {
    word.len() <= MAX_WORD_BYTES && word.iter().all(u8::is_ascii_graphic)
}

/// The fields of a request, `name=value,...`, that the router knows.
#[derive(Default)]
struct RequestFields {
    /// Index of the class in the settings (`c`).
    class: Option<usize>,
    /// Index of the tenant in the settings (`t`).
    tenant: Option<usize>,
    /// How long the client waits, in microseconds (`d`, in milliseconds).
    deadline: Option<Micros>,
    /// Whether it is a retry (`r`).
    is_retry: bool,
    /// Expected work in microseconds (`h`).
    cost: Option<Micros>,
    /// Size of the value in bytes, 0 if not stated (`size`).
    value_size: f32,
}

impl RequestFields {
    fn parse(text: &str, deployment: &Deployment) -> Result<RequestFields, CommandError> {
        let mut fields = RequestFields::default();
        for field in text.split(',').filter(|field| !field.is_empty()) {
            let (name, value) = field.split_once('=').ok_or(CommandError::InvalidField)?;
            fields.set(name, value, deployment)?;
        }
        Ok(fields)
    }

    fn set(
        &mut self,
        name: &str,
        value: &str,
        deployment: &Deployment,
    ) -> Result<(), CommandError> {
        match name {
            "c" => {
                let class = position(&deployment.classes, value);
                self.class = Some(class.ok_or(CommandError::UnknownClass)?);
            }
            "t" if !deployment.tenants.is_empty() => {
                let tenant = position(&deployment.tenants, value);
                self.tenant = Some(tenant.ok_or(CommandError::UnknownTenant)?);
            }
            "d" => {
                let milliseconds: f64 = value.parse().map_err(|_| CommandError::InvalidDeadline)?;
                self.deadline = Some((milliseconds * MICROS_PER_MILLISECOND) as Micros);
            }
            "r" => self.is_retry = value == "1",
            "h" => self.cost = value.parse().ok(),
            "size" => self.value_size = value.parse().unwrap_or(0.0),
            // Fields of later versions are forwarded and otherwise ignored.
            _ => {}
        }
        Ok(())
    }
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}
