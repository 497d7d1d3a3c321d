//! Reads the site that expectations are tried against, a configuration and a directory of servers, as the program
//! would read it at its first start.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use serde_json::Value;

use crate::documents::read::Source;
use crate::expect::Site;
use crate::interface::ServerId;
use crate::membership::Location;
use crate::program::cli::{Verdict, check, complain, servers, source};
use crate::program::site::TrialContext;
use crate::protocol::config::Config;

/// The arguments that name a site.
#[derive(Clone, Debug, clap::Args)]
pub(in crate::program::cli) struct SiteArguments {
    /// The platform's configuration, with the settings
    #[arg(long, value_name = "FILE")]
    pub config: String,
    /// The directory of the server files
    #[arg(long, value_name = "DIR")]
    pub servers: PathBuf,
}

/// A site with its sources.
pub(in crate::program::cli) struct SiteSources {
    pub site: Site,
    /// The text of the configuration.
    pub config: Source,
    /// The content of the configuration.
    pub value: Value,
    /// The place of each server in its file.
    pub places: BTreeMap<ServerId, Location>,
}

/// Reads a site, and prints what is wrong with it.
pub(in crate::program::cli) fn read(config_path: &str, directory: &Path) -> Result<SiteSources, Verdict> {
    let (config, catalog) = check::config(config_path)?;
    let text = source(Path::new(config_path)).map_err(complain)?;
    let value = serde_json::from_str(&text.text).map_err(complain)?;
    let files = servers::valid_files(directory, &catalog)?;
    let settings = config.settings.settings().map_err(complain)?;
    let context = TrialContext { names: config.settings.clone().names(), settings, catalog };
    let site = context.site(&files).ok_or(Verdict::Refused)?;
    let all = files.values().flat_map(|file| file.servers.iter());
    let in_directory = |place: &Location| {
        let file = directory.join(&*place.file).display().to_string();
        Location { file: file.into(), ..place.clone() }
    };
    let places = all.map(|server| (server.number, in_directory(&server.id.location))).collect();
    Ok(SiteSources { site, config: text, value, places })
}

impl SiteSources {
    /// Returns the site with other settings, or `None` if they are invalid or don't fit its zones and kinds.
    pub fn with_config(&self, value: &Value) -> Option<Site> {
        let config = Config::parse(&value.to_string()).ok()?;
        let settings = config.settings.settings().ok().filter(|settings| settings.check().is_ok())?;
        let names = config.settings.names();
        let is_compatible = names.zones == self.site.zones && names.kinds == self.site.kinds;
        let servers = self.site.servers.clone();
        is_compatible.then_some(Site {
            settings,
            zones: names.zones,
            kinds: names.kinds,
            classes: names.classes,
            servers,
        })
    }
}
