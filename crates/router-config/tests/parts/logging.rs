//! The limit on repeated lines.

use super::*;
use crate::schema::Repeat;
use crate::units::Span;

#[test]
fn there_is_room_again_when_the_time_is_over_and_what_was_left_out_is_told_then() {
    let (told, tells) = std::sync::mpsc::channel();
    struct Told(std::sync::mpsc::Sender<String>);
    impl Write for Told {
        fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
            let _ = self.0.send(String::from_utf8_lossy(bytes).into_owned());
            Ok(bytes.len())
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }
    let told = Mutex::new(told);
    let writer = move || Told(told.lock().unwrap().clone());
    let repeat = Repeat {
        lines: 2,
        per: Span(Duration::from_secs(10)),
    };
    let counts = Limit::new(
        &Log {
            repeat,
            ..Log::default()
        },
        writer,
    )
    .0;
    let (at, begin) = (("node.rs", 7), Instant::now());
    let room = |second: u64| counts.room(at, begin + Duration::from_secs(second));
    assert_eq!([0, 1, 2, 9, 10].map(room), [true, true, false, false, true]);
    let text: String = tells.try_iter().collect();
    assert_eq!(
        text,
        "WARN log: 2 more lines from node.rs:7 were left out\n"
    );
    assert!(
        counts.room(("node.rs", 8), begin),
        "another place has room of its own"
    );
}
