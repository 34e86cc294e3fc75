//! `routerctl check`: checks whether a configuration is valid.

use std::path::PathBuf;

use clap::Args;
use router_config::{Config, ConfigError, Layers};

use crate::assignment::{Assignment, parse_assignment};
use crate::outcome::{CommandError, CommandResult, Outcome};
use crate::output::{print, print_line, print_notice};

#[derive(Args)]
#[command(after_help = "Examples:\n  routerctl check router.toml\n  \
                        routerctl check router.toml --set log.level=debug --show")]
pub struct Arguments {
    /// Configuration file, in TOML (docs/CONFIG.md)
    file: PathBuf,
    /// Override the value of a key from the file and the environment
    #[arg(long = "set", value_name = "KEY=VALUE", value_parser = parse_assignment)]
    set: Vec<Assignment>,
    /// Print all effective values as TOML
    #[arg(long)]
    show: bool,
}

pub fn run(arguments: &Arguments) -> CommandResult {
    let file_layers = Layers::from_env().file(&arguments.file);
    let layers = arguments.set.iter().fold(file_layers, |layers, set| {
        layers.override_key(&set.key, &set.value)
    });
    match layers.read() {
        Ok(config) => {
            print_valid(arguments, &config)?;
            Ok(Outcome::Passed)
        }
        Err(error @ ConfigError::Unreadable { .. }) => Err(error.into()),
        Err(error) => {
            print_line(format_args!("{error}"))?;
            Ok(Outcome::Failed)
        }
    }
}

fn print_valid(arguments: &Arguments, config: &Config) -> Result<(), CommandError> {
    if let Some(warning) = config.log.deprecated_variables.warning() {
        print_notice(format_args!("{warning}"));
    }
    if arguments.show {
        print(format_args!("{}", toml::to_string(config)?))?;
    } else {
        print_line(format_args!("{} is valid", arguments.file.display()))?;
    }
    Ok(())
}
