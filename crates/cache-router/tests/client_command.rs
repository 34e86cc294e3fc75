//! What the words and fields of a client's command mean, and what a client is sent for an invalid one.
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

fn parse_words(words: &[&str]) -> Result<Command, CommandError> {
    let words: Vec<_> = words
        .iter()
        .map(|word| Bytes::copy_from_slice(word.as_bytes()))
        .collect();
    parse(&words, &deployment())
}

fn parse_request(words: &[&str]) -> ClientCommand {
    match parse_words(words) {
        Ok(Command::Request(command)) => command,
        other => panic!("{other:?}"),
    }
}

struct InvalidCommand {
    words: &'static [&'static str],
    reply: &'static str,
}

#[test]
fn an_invalid_command_is_an_error_with_the_text_of_the_protocol() {
    let long_key: &'static str = "k".repeat(513).leak();
    let cases = [
        InvalidCommand {
            words: &[],
            reply: "unknown command",
        },
        InvalidCommand {
            words: &["GET", "key"],
            reply: "unknown command",
        },
        InvalidCommand {
            words: &["OBJ.GET", "key", "id"],
            reply: "wrong number of arguments",
        },
        InvalidCommand {
            words: &["OBJ.SET", "key", "id", "c=read"],
            reply: "wrong number of arguments",
        },
        InvalidCommand {
            words: &["OBJ.GET", "a key", "id", "c=read"],
            reply: "invalid key, id or facts",
        },
        InvalidCommand {
            words: &["OBJ.GET", "key", "", "c=read"],
            reply: "invalid key, id or facts",
        },
        InvalidCommand {
            words: Vec::leak(vec!["OBJ.GET", long_key, "id", "c=read"]),
            reply: "invalid key, id or facts",
        },
        InvalidCommand {
            words: &["OBJ.GET", "key", "id", "c=read,d"],
            reply: "invalid facts",
        },
        InvalidCommand {
            words: &["OBJ.GET", "key", "id", "c=other"],
            reply: "unknown class",
        },
        InvalidCommand {
            words: &["OBJ.GET", "key", "id", "c=read,t=other"],
            reply: "unknown tenant",
        },
        InvalidCommand {
            words: &["OBJ.GET", "key", "id", "c=read,d=soon"],
            reply: "invalid d",
        },
        InvalidCommand {
            words: &["OBJ.GET", "key", "id", "t=acme"],
            reply: "no class",
        },
    ];
    for case in cases {
        let error = parse_words(case.words).expect_err("an error");
        assert_eq!(error.to_string(), case.reply, "{:?}", case.words);
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
fn a_request_without_a_deadline_has_that_of_its_class_and_none_has_more_than_a_minute() {
    let command = parse_request(&["OBJ.GET", "key", "id", "c=read"]);
    assert_eq!(command.remaining_deadline, 250_000);
    assert!(!command.is_write && !command.is_retry && command.tenant == 0);
    let command = parse_request(&["OBJ.GET", "key", "id", "c=read,d=3600000"]);
    assert_eq!(command.remaining_deadline, 60_000_000);
}
