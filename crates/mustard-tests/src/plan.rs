//! The configuration of a cluster.

use mustard_core::ids::Layers;

/// The name of the model that every cluster serves.
pub const MODEL: &str = "caption";
/// The name of the plain service of every cluster.
pub const SERVICE: &str = "placements";
/// The failure domains, assigned to processes in turn.
pub const DOMAINS: [&str; 3] = ["ga-north-a", "ga-north-b", "ga-north-c"];
/// The operator's bearer key.
pub const OPERATOR_KEY: &str = "operator-key";
/// The customer's bearer key.
pub const CUSTOMER_KEY: &str = "customer-key";

/// The configuration of a cluster, as a builder.
#[derive(Clone, Debug)]
pub struct Plan {
    pub(crate) entries: usize,
    pub(crate) layer_ranges: Vec<Layers>,
    pub(crate) replicas: usize,
    pub(crate) services: usize,
    pub(crate) engine_flags: Vec<String>,
    pub(crate) service_flags: Vec<String>,
    pub(crate) platform_flags: Vec<String>,
    pub(crate) entry_settings: String,
    pub(crate) seeds_catalogue: bool,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            entries: 2,
            layer_ranges: vec![Layers::new(0, 4), Layers::new(4, 8), Layers::new(8, 12)],
            replicas: 1,
            services: 1,
            engine_flags: Vec::new(),
            service_flags: Vec::new(),
            platform_flags: vec!["--vm-lag-ms".to_owned(), "100".to_owned()],
            entry_settings: String::new(),
            seeds_catalogue: true,
        }
    }
}

impl Plan {
    /// Creates a plan of two entry processes, three stages of four layers each, and one plain
    /// service.
    pub fn new() -> Self {
        Plan::default()
    }

    /// Sets the number of entry processes.
    #[must_use]
    pub fn entries(mut self, n: usize) -> Self {
        self.entries = n;
        self
    }

    /// Sets the number of stages for each range of layers.
    #[must_use]
    pub fn replicas(mut self, n: usize) -> Self {
        self.replicas = n;
        self
    }

    /// Sets the ranges of layers, one for each stage of a replica.
    #[must_use]
    pub fn layer_ranges(mut self, ranges: &[Layers]) -> Self {
        self.layer_ranges = ranges.to_vec();
        self
    }

    /// Sets the number of plain services.
    #[must_use]
    pub fn services(mut self, n: usize) -> Self {
        self.services = n;
        self
    }

    /// Adds command-line flags for all engines.
    #[must_use]
    pub fn engine_flags(mut self, flags: &[&str]) -> Self {
        self.engine_flags.extend(to_strings(flags));
        self
    }

    /// Adds command-line flags for all plain services.
    #[must_use]
    pub fn service_flags(mut self, flags: &[&str]) -> Self {
        self.service_flags.extend(to_strings(flags));
        self
    }

    /// Adds command-line flags for the platform's stand-in.
    #[must_use]
    pub fn platform_flags(mut self, flags: &[&str]) -> Self {
        self.platform_flags.extend(to_strings(flags));
        self
    }

    /// Adds TOML tables to the settings of all entry processes.
    #[must_use]
    pub fn entry_settings(mut self, toml: &str) -> Self {
        self.entry_settings.push_str(toml);
        self
    }

    /// Leaves the catalogue empty and skips the wait for ready entry processes.
    #[must_use]
    pub fn empty_catalogue(mut self) -> Self {
        self.seeds_catalogue = false;
        self
    }

    /// Returns the number of layers of the model.
    pub fn layers(&self) -> u32 {
        self.layer_ranges.last().map_or(0, |layers| layers.end)
    }
}

fn to_strings<'a>(flags: &'a [&str]) -> impl Iterator<Item = String> + 'a {
    flags.iter().map(|f| (*f).to_owned())
}
