//! Reads the settings again while the node runs.

use crate::settings::SidecarSettings;
use crate::state::Node;

/// Reads the settings again; the error says why they cannot be used.
pub type ReadSettings = Box<dyn Fn() -> Result<SidecarSettings, String>>;

/// Why the settings are read again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReloadTrigger {
    /// The operator sent SIGHUP.
    Signal,
    /// Periodic check, as the file may change without a signal.
    Poll,
    /// Another instance was found beside the node. It may be of another service.
    OtherInstance,
}

/// Puts changed settings in force. Sockets that are already bound stay as they are.
pub fn reload(node: &Node, trigger: ReloadTrigger) {
    let Some(read) = node.read_settings() else { return };
    match read {
        Ok(mut settings) => {
            let current = node.settings();
            if settings.listen != current.listen {
                if trigger == ReloadTrigger::Signal {
                    log::warn!("event=reload_partial reason=\"listen addresses change only with a restart\"");
                }
                settings.listen = current.listen;
            }
            let changed = settings != *current;
            node.replace_settings(settings);
            if changed || trigger == ReloadTrigger::Signal {
                log::info!("event=reloaded changed={changed}");
            }
        }
        Err(reason) if trigger == ReloadTrigger::Signal => log::error!("event=reload_failed reason={reason:?}"),
        // The file may be in the middle of a write; it is read again soon.
        Err(reason) => log::debug!("event=reload_failed reason={reason:?}"),
    }
}
