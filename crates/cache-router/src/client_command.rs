//! Parses client commands: their names, arguments and request fields.

use bytes::Bytes;
use routing_policy::Micros;
use routing_policy::settings::Deployment;
use thiserror::Error;

use crate::message::ClientCommand;

/// The maximum length of a key, a request id and a list of fields, in bytes.
const MAX_ARGUMENT_BYTES: usize = 512;
/// The maximum deadline of a request, in microseconds. Larger values of clients or settings are reduced to it.
const MAX_DEADLINE: Micros = 60_000_000;

const MICROS_PER_MILLISECOND: f64 = 1e3;

/// A command that a client can send.
#[derive(Debug)]
pub enum Command {
    /// `PING`: asks whether the router is ready.
    Ping,
    /// `OBJ.GET` or `OBJ.SET`: a request for the routing policy.
    Request(ClientCommand),
}

/// Why the router can't serve a command. A request without a known class, for example, can't be given to the routing
/// policy. The texts are part of the protocol, since they are sent to clients.
#[derive(Debug, PartialEq, Eq, Clone, Copy, Error)]
pub enum CommandError {
    /// The command name is unknown.
    #[error("unknown command")]
    UnknownCommand,
    /// The command has too few or too many arguments.
    #[error("wrong number of arguments")]
    WrongArgumentCount,
    /// An argument is too long, empty, or has characters that would break the framing of a server's protocol.
    #[error("invalid key, id or facts")]
    InvalidArgument,
    /// A field is not `name=value`.
    #[error("invalid facts")]
    InvalidField,
    /// The class is not in the settings.
    #[error("unknown class")]
    UnknownClass,
    /// The tenant is not in the settings.
    #[error("unknown tenant")]
    UnknownTenant,
    /// The deadline is not a number.
    #[error("invalid d")]
    InvalidDeadline,
    /// The request has no class field.
    #[error("no class")]
    NoClass,
}

/// Parses a command from its name and arguments.
///
/// # Errors
///
/// If the deployment can't serve the command.
pub fn parse(arguments: &[Bytes], deployment: &Deployment) -> Result<Command, CommandError> {
    let name = arguments
        .first()
        .map(|name| name.to_ascii_uppercase())
        .unwrap_or_default();
    match name.as_slice() {
        b"PING" => Ok(Command::Ping),
        b"OBJ.GET" => parse_get(arguments, deployment).map(Command::Request),
        b"OBJ.SET" => parse_set(arguments, deployment).map(Command::Request),
        _ => Err(CommandError::UnknownCommand),
    }
}

fn parse_get(arguments: &[Bytes], deployment: &Deployment) -> Result<ClientCommand, CommandError> {
    let [_, key, request_id, fields] = arguments else {
        return Err(CommandError::WrongArgumentCount);
    };
    parse_request(key, request_id, fields, deployment)
}

fn parse_set(arguments: &[Bytes], deployment: &Deployment) -> Result<ClientCommand, CommandError> {
    let [_, key, request_id, fields, value] = arguments else {
        return Err(CommandError::WrongArgumentCount);
    };
    let command = parse_request(key, request_id, fields, deployment)?;
    Ok(ClientCommand {
        is_write: true,
        value: Some(value.clone()),
        ..command
    })
}

/// Parses the arguments that reads and writes have in common.
fn parse_request(
    key: &Bytes,
    request_id: &Bytes,
    fields: &Bytes,
    deployment: &Deployment,
) -> Result<ClientCommand, CommandError> {
    // The arguments are forwarded to servers and must not break the framing of their protocols.
    let arguments_are_valid = [key, request_id, fields].into_iter().all(is_valid_argument);
    if !arguments_are_valid || key.is_empty() || request_id.is_empty() {
        return Err(CommandError::InvalidArgument);
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

fn is_valid_argument(argument: &Bytes) -> bool {
    argument.len() <= MAX_ARGUMENT_BYTES && argument.iter().all(u8::is_ascii_graphic)
}

/// The fields of a request, `name=value,...`, that the router evaluates.
#[derive(Default)]
struct RequestFields {
    /// Index of the class in the settings (`c`).
    class: Option<usize>,
    /// Index of the tenant in the settings (`t`).
    tenant: Option<usize>,
    /// How long the client waits, in microseconds (`d`, in milliseconds on the wire).
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
                let class = index_of(&deployment.classes, value);
                self.class = Some(class.ok_or(CommandError::UnknownClass)?);
            }
            "t" if !deployment.tenants.is_empty() => {
                let tenant = index_of(&deployment.tenants, value);
                self.tenant = Some(tenant.ok_or(CommandError::UnknownTenant)?);
            }
            "d" => {
                let milliseconds: f64 = value.parse().map_err(|_| CommandError::InvalidDeadline)?;
                self.deadline = Some((milliseconds * MICROS_PER_MILLISECOND) as Micros);
            }
            "r" => self.is_retry = value == "1",
            "h" => self.cost = value.parse().ok(),
            "size" => self.value_size = value.parse().unwrap_or(0.0),
            // Unknown fields, for example of later versions, are forwarded and otherwise ignored.
            _ => {}
        }
        Ok(())
    }
}

fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|candidate| candidate == name)
}
