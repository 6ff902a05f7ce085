//! Command-line arguments shared by all programs.

use std::path::PathBuf;

use clap::Args;

use super::{Settings, SettingsErrors, declare::Program, docs_page};

/// Arguments that name the settings; a program flattens them into its own.
#[derive(Args, Clone, Debug)]
pub struct ConfigArgs {
    /// The file with the settings.
    #[arg(long, value_name = "FILE", required_unless_present = "print_settings_table")]
    pub config: Option<PathBuf>,
    /// Checks the settings and exits.
    #[arg(long)]
    pub check_config: bool,
    /// Prints the part of docs/settings.md about this program and exits.
    #[arg(long, hide = true)]
    pub print_settings_table: bool,
}

/// What a program has to do after loading its settings.
#[derive(Clone, Debug)]
pub enum Loaded {
    /// Run with these settings.
    Run(Settings),
    /// Print this text and exit successfully.
    Print(String),
}

impl ConfigArgs {
    /// Loads the settings of a program as the arguments ask.
    ///
    /// # Errors
    ///
    /// Returns every error that was found in the file.
    pub fn load(&self, program: &Program) -> Result<Loaded, SettingsErrors> {
        if self.print_settings_table {
            return Ok(Loaded::Print(docs_page::render_part(program.name, program.tables)));
        }
        let path = self.config.clone().unwrap_or_default();
        let settings = Settings::load(program, &path)?;
        if self.check_config {
            return Ok(Loaded::Print(format!("{}: settings are valid\n", path.display())));
        }
        Ok(Loaded::Run(settings))
    }
}
