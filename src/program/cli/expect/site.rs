//! What expectations are tried against: a configuration and a directory of servers, read as the program would at
//! its first start.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use serde_json::Value;

use crate::documents::read::Source;
use crate::expect::Site;
use crate::interface::ServerId;
use crate::membership::Place;
use crate::program::cli::{Verdict, check, complain, servers, source};
use crate::program::site::TrialContext;
use crate::protocol::config::Config;

/// Which site is meant.
#[derive(Clone, Debug, clap::Args)]
pub(in crate::program::cli) struct SiteArguments {
    /// The platform's configuration, with the settings
    #[arg(long, value_name = "FILE")]
    pub config: String,
    /// The directory of files of servers
    #[arg(long, value_name = "DIR")]
    pub servers: PathBuf,
}

/// A site, and where its parts stand.
pub(in crate::program::cli) struct Read {
    pub site: Site,
    /// The configuration's text and what it says.
    pub config: Source,
    pub value: Value,
    /// Where each server stands in its file.
    pub places: BTreeMap<ServerId, Place>,
}

/// Reads the site; what is wrong is shown.
pub(in crate::program::cli) fn read(config_path: &str, directory: &Path) -> Result<Read, Verdict> {
    let (config, catalog) = check::config(config_path)?;
    let text = source(Path::new(config_path)).map_err(complain)?;
    let value = serde_json::from_str(&text.text).map_err(complain)?;
    let files = servers::good(directory, &catalog)?;
    let settings = config.settings.settings().map_err(complain)?;
    let frame = TrialContext { names: config.settings.clone().names(), settings, catalog };
    let site = frame.site(&files).ok_or(Verdict::Refused)?;
    let all = files.values().flat_map(|file| file.servers.iter());
    let in_directory = |place: &Place| {
        let file = directory.join(&*place.file).display().to_string();
        Place { file: file.into(), ..place.clone() }
    };
    let places = all.map(|server| (server.number, in_directory(&server.id.place))).collect();
    Ok(Read { site, config: text, value, places })
}

impl Read {
    /// The site with other settings: none if they can't be used.
    pub fn with_config(&self, value: &Value) -> Option<Site> {
        let config = Config::parse(&value.to_string()).ok()?;
        let settings = config.settings.settings().ok().filter(|settings| settings.check().is_ok())?;
        let names = config.settings.names();
        let same = names.zones == self.site.zones && names.kinds == self.site.kinds;
        let servers = self.site.servers.clone();
        same.then_some(Site {
            settings,
            zones: names.zones,
            kinds: names.kinds,
            classes: names.classes,
            servers,
        })
    }
}
