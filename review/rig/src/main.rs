//! Stand-ins for the review cases: cache servers, the origin, discovery, clients and the platform. Each case starts the
//! node with the command of the deploy file and judges only what clients, servers and the platform can see.
//!
//! `review-rig CASE ROOT FOLDER TMP TROUBLE`: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.

mod cases;
mod client;
mod discovery;
mod http;
mod node;
mod origin;
mod record;
mod resp;
mod rng;
mod server;
mod settings;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, folder, tmp, trouble] = &arguments[..] else {
        eprintln!("review-rig CASE ROOT FOLDER TMP TROUBLE");
        std::process::exit(2);
    };
    let context = cases::Context {
        root: root.into(),
        folder: folder.into(),
        tmp: tmp.into(),
        trouble: trouble != "0",
    };
    let code = match cases::run(case, &context) {
        Ok(cases::Verdict::Held) => 0,
        Ok(cases::Verdict::Broken) => 1,
        Err(error) => {
            eprintln!("could not run: {error}");
            2
        }
    };
    std::process::exit(code);
}
