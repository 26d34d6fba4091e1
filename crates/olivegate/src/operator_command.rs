//! Commands `status` and `explain`, which query a node's admin port.

use std::net::SocketAddr;
use std::time::Duration;

use olivegate_node::fetch;
use olivegate_types::RequestId;

use crate::error::CommandError;

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Time limit of a query.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Prints a node's status.
pub fn status(admin: SocketAddr) -> Result<(), CommandError> {
    print_page(admin, "/status")
}

/// Prints what the nodes decided about a request.
pub fn explain(request: &str, admin: SocketAddr) -> Result<(), CommandError> {
    let request: RequestId =
        request.parse().map_err(|_| CommandError::Admin("a request id is 32 hexadecimal digits".into()))?;
    print_page(admin, &format!("/explain/{request}"))
}

fn print_page(admin: SocketAddr, path: &str) -> Result<(), CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| CommandError::Admin(error.to_string()))?;
    let response = runtime.block_on(fetch::get(admin, path, MAX_RESPONSE_BYTES, TIMEOUT));
    let response = response.map_err(|_| CommandError::Admin(format!("no answer from {admin}")))?;
    let text = String::from_utf8_lossy(&response.body);
    if response.status != fetch::OK {
        return Err(CommandError::Admin(text.trim().to_string()));
    }
    println!("{}", text.trim_end());
    Ok(())
}
