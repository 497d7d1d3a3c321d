//! `birchspur check`: checks every document without serving.

use std::path::Path;

use super::{Verdict, complain, print, servers, show, source};
use crate::documents::operator::{Operator, Watched};
use crate::membership::Catalog;
use crate::program::lists::catalog;
use crate::protocol::config::Config;

/// Reads and checks a configuration as the program would before it serves.
pub(super) fn config(path: &str) -> Result<(Config, Catalog), Verdict> {
    let text = source(Path::new(path)).map_err(complain)?;
    let config = Config::parse(&text.text).map_err(|error| refuse(path, error))?;
    config.seed().map_err(|error| refuse(path, error))?;
    let settings = config.settings.settings().map_err(|error| refuse(path, error))?;
    settings.check().map_err(|error| refuse(path, error))?;
    config.settings.links().map_err(|error| refuse(path, error))?;
    let names = config.settings.clone().names();
    let catalog = catalog(&names, &settings, None);
    Ok((config, catalog))
}

/// Prints why a file is refused.
fn refuse(path: &str, error: impl std::fmt::Display) -> Verdict {
    eprintln!("birchspur: {path}: {error}");
    Verdict::Refused
}

/// Checks the directory of server files that the operator's document names.
fn directory(watched: &Watched, catalog: Catalog) -> Verdict {
    let catalog = Catalog { cells: watched.cells.clone(), ..catalog };
    servers::check(&watched.directory, Some(&catalog), watched.most_bytes)
}

/// Checks all documents and prints the results.
pub(super) fn run(config_path: Option<&str>, operator_path: Option<&str>) -> Verdict {
    let mut worst = Verdict::Good;
    let mut config_catalog = None;
    match config_path.map(str::to_string).or_else(|| std::env::var("LB_CONFIG").ok()) {
        Some(path) => match config(&path) {
            Ok((_, catalog)) => {
                print(&format!("{path}: good\n"));
                config_catalog = Some(catalog);
            }
            Err(verdict) => worst = worst.max(verdict),
        },
        None if operator_path.is_none() => {
            return complain("nothing to check: give --config or --operator, or set LB_CONFIG");
        }
        None => {}
    }
    let Some(path) = operator_path else { return worst };
    let text = match source(Path::new(path)) {
        Ok(text) => text,
        Err(error) => return worst.max(complain(error)),
    };
    let operator = match Operator::parse(&text) {
        Ok(operator) => operator,
        Err(refusal) => {
            show(&refusal, Some(&text));
            return worst.max(Verdict::Refused);
        }
    };
    print(&format!("{path}: good\n"));
    match (&operator.servers, config_catalog) {
        (Some(watched), Some(catalog)) => worst = worst.max(directory(watched, catalog)),
        (Some(watched), None) => {
            print("zones and kinds are not checked: add --config to check them\n");
            worst = worst.max(servers::check(&watched.directory, None, watched.most_bytes));
        }
        (None, _) => {}
    }
    if let Some(rpc) = &operator.rpc
        && let Some(watched) = &rpc.servers
    {
        worst = worst.max(directory(watched, catalog(&rpc.names, &rpc.settings, Some(watched))));
    }
    worst
}
