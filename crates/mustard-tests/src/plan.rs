//! What a cluster consists of.

use mustard_core::ids::Layers;

/// The model of every cluster.
pub const MODEL: &str = "caption";
/// The plain service of every cluster.
pub const SERVICE: &str = "placements";
/// The failure domains, which processes are spread over.
pub const DOMAINS: [&str; 3] = ["ga-north-a", "ga-north-b", "ga-north-c"];
/// The operator's bearer key.
pub const OPERATOR_KEY: &str = "operator-key";
/// The customer's bearer key.
pub const CUSTOMER_KEY: &str = "customer-key";

/// Builds a cluster.
#[derive(Clone, Debug)]
pub struct Plan {
    pub(crate) entries: usize,
    pub(crate) ranges: Vec<Layers>,
    pub(crate) replicas: usize,
    pub(crate) services: usize,
    pub(crate) engine_flags: Vec<String>,
    pub(crate) service_flags: Vec<String>,
    pub(crate) platform_flags: Vec<String>,
    pub(crate) entry_settings: String,
    pub(crate) seeded: bool,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            entries: 2,
            ranges: vec![Layers::new(0, 4), Layers::new(4, 8), Layers::new(8, 12)],
            replicas: 1,
            services: 1,
            engine_flags: Vec::new(),
            service_flags: Vec::new(),
            platform_flags: vec!["--vm-lag-ms".to_owned(), "100".to_owned()],
            entry_settings: String::new(),
            seeded: true,
        }
    }
}

impl Plan {
    /// Starts from two entries, three stages that hold twelve layers, and one plain service.
    pub fn new() -> Self {
        Plan::default()
    }

    /// Sets the number of entry processes.
    #[must_use]
    pub fn entries(mut self, n: usize) -> Self {
        self.entries = n;
        self
    }

    /// Sets how many stages hold each range of layers.
    #[must_use]
    pub fn replicas(mut self, n: usize) -> Self {
        self.replicas = n;
        self
    }

    /// Sets the ranges of layers.
    #[must_use]
    pub fn ranges(mut self, ranges: &[Layers]) -> Self {
        self.ranges = ranges.to_vec();
        self
    }

    /// Sets the number of plain services.
    #[must_use]
    pub fn services(mut self, n: usize) -> Self {
        self.services = n;
        self
    }

    /// Adds flags of every engine.
    #[must_use]
    pub fn engine(mut self, flags: &[&str]) -> Self {
        self.engine_flags.extend(owned(flags));
        self
    }

    /// Adds flags of every plain service.
    #[must_use]
    pub fn service(mut self, flags: &[&str]) -> Self {
        self.service_flags.extend(owned(flags));
        self
    }

    /// Adds flags of the platform.
    #[must_use]
    pub fn platform(mut self, flags: &[&str]) -> Self {
        self.platform_flags.extend(owned(flags));
        self
    }

    /// Adds TOML tables to the settings of every entry.
    #[must_use]
    pub fn entry(mut self, toml: &str) -> Self {
        self.entry_settings.push_str(toml);
        self
    }

    /// Leaves the catalogue empty.
    #[must_use]
    pub fn unseeded(mut self) -> Self {
        self.seeded = false;
        self
    }

    /// Returns the number of layers of the model.
    pub fn layers(&self) -> u32 {
        self.ranges.last().map_or(0, |r| r.end)
    }
}

fn owned<'a>(flags: &'a [&str]) -> impl Iterator<Item = String> + 'a {
    flags.iter().map(|f| (*f).to_owned())
}
