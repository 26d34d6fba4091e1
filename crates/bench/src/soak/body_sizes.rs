//! Sizes of request and response bodies, as the target of a request names them.

/// Part of a path before the size of the request body.
const REQUEST_MARKER: &str = "/send-bytes-";
/// Part of a path before the size of the response body.
const RESPONSE_MARKER: &str = "/receive-bytes-";

/// Path of a request with a body of `bytes`, on a route that begins with `path`.
pub fn upload_path(path: &str, bytes: usize) -> String {
    format!("{path}{REQUEST_MARKER}{bytes}/")
}

/// Path of a request whose response has a body of `bytes`, on a route that begins with `path`.
pub fn download_path(path: &str, bytes: usize) -> String {
    format!("{path}{RESPONSE_MARKER}{bytes}/")
}

/// Size of the request body that `target` names.
pub fn request_bytes(target: &str) -> Option<usize> {
    number_after(target, REQUEST_MARKER)
}

/// Size of the response body that `target` names.
pub fn response_bytes(target: &str) -> Option<usize> {
    number_after(target, RESPONSE_MARKER)
}

fn number_after(target: &str, marker: &str) -> Option<usize> {
    let (_, rest) = target.split_once(marker)?;
    rest.split('/').next()?.parse().ok()
}
