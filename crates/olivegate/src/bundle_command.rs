//! Commands `bundle check`, `bundle sign`, `bundle diff` and `bundle key`.

use std::path::Path;

use olivegate_bundle::check::{bundle_from_toml, check_bundle};
use olivegate_bundle::delta::changes_between;
use olivegate_bundle::{Bundle, SignedBundle, SigningKeyPair};

use crate::error::CommandError;

fn invalid_file(file: &Path, text: impl ToString) -> CommandError {
    CommandError::InvalidFile(file.to_path_buf(), text.to_string())
}

fn read_bytes(file: &Path) -> Result<Vec<u8>, CommandError> {
    std::fs::read(file).map_err(|error| CommandError::Read(file.to_path_buf(), error))
}

/// Reads a bundle in TOML or signed form and checks it.
fn read_bundle(file: &Path) -> Result<Bundle, CommandError> {
    let bytes = read_bytes(file)?;
    if let Ok(text) = std::str::from_utf8(&bytes) {
        return bundle_from_toml(text).map_err(|error| invalid_file(file, error));
    }
    let signed = SignedBundle::from_bytes(&bytes).map_err(|error| invalid_file(file, error))?;
    check_bundle(&signed.bundle).map_err(|error| invalid_file(file, error))?;
    Ok(signed.bundle)
}

fn read_key(file: &Path) -> Result<SigningKeyPair, CommandError> {
    let text = String::from_utf8_lossy(&read_bytes(file)?).into_owned();
    SigningKeyPair::from_hex(&text).map_err(|error| invalid_file(file, error))
}

/// Checks a bundle file; prints its version and how many groups, services and kinds it has.
pub fn check(file: &Path) -> Result<(), CommandError> {
    let bundle = read_bundle(file)?;
    println!("ok deployment={} version={}", bundle.deployment, bundle.stamp());
    println!("groups={} services={} kinds={}", bundle.groups.len(), bundle.services.len(), bundle.kinds.len());
    Ok(())
}

/// Signs a bundle. If `out` already holds the same bundle, signatures by other keys are kept.
pub fn sign(file: &Path, key: &Path, out: &Path) -> Result<(), CommandError> {
    let bundle = read_bundle(file)?;
    let signature = read_key(key)?.sign(&bundle);
    let mut signatures = match std::fs::read(out).ok().and_then(|bytes| SignedBundle::from_bytes(&bytes).ok()) {
        Some(signed) if signed.bundle == bundle => signed.signatures,
        _ => Vec::new(),
    };
    signatures.retain(|other| other.key != signature.key);
    signatures.push(signature);
    let signed = SignedBundle { bundle, signatures };
    std::fs::write(out, signed.to_bytes()).map_err(|error| CommandError::Write(out.to_path_buf(), error))?;
    println!("signed version={} signatures={}", signed.bundle.stamp(), signed.signatures.len());
    Ok(())
}

/// Prints the changes between two bundles.
pub fn diff(old: &Path, new: &Path) -> Result<(), CommandError> {
    let (old, new) = (read_bundle(old)?, read_bundle(new)?);
    println!("from version={} to version={}", old.stamp(), new.stamp());
    if new.parent != old.stamp().digest {
        println!("note: the parent of the new bundle is not the old one");
    }
    for change in changes_between(&old, &new) {
        println!("{change}");
    }
    Ok(())
}

/// Prints the public key of a secret key file.
pub fn public_key(key: &Path) -> Result<(), CommandError> {
    println!("{}", hex::encode(read_key(key)?.public_key()));
    Ok(())
}
