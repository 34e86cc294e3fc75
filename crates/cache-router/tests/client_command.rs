//! Parsing of client commands, and the error texts for invalid ones.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use bytes::Bytes;
use cache_router::client_command::{Command, CommandError, parse};
use cache_router::message::ClientCommand;
use routing_policy::settings::{self, Deployment};

fn deployment() -> Deployment {
    let text = br#"{"classes":[{"name":"read","deadlineUs":250000},{"name":"write"}],"realms":[{"name":"acme"},{"name":"apex"}]}"#;
    settings::read(text).unwrap()
}

fn parse_arguments(arguments: &[&str]) -> Result<Command, CommandError> {
    let arguments: Vec<_> = arguments
        .iter()
        .map(|argument| Bytes::copy_from_slice(argument.as_bytes()))
        .collect();
    parse(&arguments, &deployment())
}

fn parse_request(arguments: &[&str]) -> ClientCommand {
    match parse_arguments(arguments) {
        Ok(Command::Request(command)) => command,
        other => panic!("{other:?}"),
    }
}

struct InvalidCommand {
    arguments: &'static [&'static str],
    reply: &'static str,
}

#[test]
fn an_invalid_command_is_an_error_with_the_text_of_the_protocol() {
    let long_key: &'static str = "k".repeat(513).leak();
    let cases = [
        InvalidCommand {
            arguments: &[],
            reply: "unknown command",
        },
        InvalidCommand {
            arguments: &["GET", "key"],
            reply: "unknown command",
        },
        InvalidCommand {
            arguments: &["OBJ.GET", "key", "id"],
            reply: "wrong number of arguments",
        },
        InvalidCommand {
            arguments: &["OBJ.SET", "key", "id", "c=read"],
            reply: "wrong number of arguments",
        },
        InvalidCommand {
            arguments: &["OBJ.GET", "a key", "id", "c=read"],
            reply: "invalid key, id or facts",
        },
        InvalidCommand {
            arguments: &["OBJ.GET", "key", "", "c=read"],
            reply: "invalid key, id or facts",
        },
        InvalidCommand {
            arguments: Vec::leak(vec!["OBJ.GET", long_key, "id", "c=read"]),
            reply: "invalid key, id or facts",
        },
        InvalidCommand {
            arguments: &["OBJ.GET", "key", "id", "c=read,d"],
            reply: "invalid facts",
        },
        InvalidCommand {
            arguments: &["OBJ.GET", "key", "id", "c=other"],
            reply: "unknown class",
        },
        InvalidCommand {
            arguments: &["OBJ.GET", "key", "id", "c=read,t=other"],
            reply: "unknown tenant",
        },
        InvalidCommand {
            arguments: &["OBJ.GET", "key", "id", "c=read,d=soon"],
            reply: "invalid d",
        },
        InvalidCommand {
            arguments: &["OBJ.GET", "key", "id", "t=acme"],
            reply: "no class",
        },
    ];
    for case in cases {
        let error = parse_arguments(case.arguments).expect_err("an error");
        assert_eq!(error.to_string(), case.reply, "{:?}", case.arguments);
    }
}

#[test]
fn the_fields_of_a_request_are_read_and_kept_as_they_were_sent() {
    let fields = "c=write,t=apex,d=1.5,r=1,h=300,size=42,later=field";
    let command = parse_request(&["obj.set", "key", "id", fields, "value"]);
    assert_eq!(command.fields, fields);
    assert_eq!(
        (command.key, command.request_id, command.value),
        ("key".into(), "id".into(), Some("value".into()))
    );
    assert!(command.is_write && command.is_retry);
    assert_eq!((command.class, command.tenant), (1, 1));
    assert_eq!(
        (command.remaining_deadline, command.cost, command.value_size),
        (1_500, Some(300), 42.0)
    );
}

#[test]
fn the_class_deadline_is_the_default_and_all_deadlines_are_capped_at_one_minute() {
    let command = parse_request(&["OBJ.GET", "key", "id", "c=read"]);
    assert_eq!(command.remaining_deadline, 250_000);
    assert!(!command.is_write && !command.is_retry && command.tenant == 0);
    let command = parse_request(&["OBJ.GET", "key", "id", "c=read,d=3600000"]);
    assert_eq!(command.remaining_deadline, 60_000_000);
}
