//! Bundles for tests.

use olivegate_bundle::check::bundle_from_toml;
use olivegate_bundle::{Bundle, SignOff, SignedBundle, SigningKeyPair};
use olivegate_types::Digest;

/// Key pairs of three operators.
pub fn keys() -> Vec<SigningKeyPair> {
    (1..=3).map(|secret| SigningKeyPair::from_secret([secret; 32])).collect()
}

/// A sign-off that requires signatures of two of the three operators.
pub fn sign_off() -> SignOff {
    SignOff { keys: keys().iter().map(SigningKeyPair::public_key).collect(), required: 2 }
}

/// A small valid bundle whose maximum queue wait is `wait` milliseconds.
pub fn bundle(version: u64, parent: Digest, wait: u32) -> Bundle {
    let text = format!(
        "deployment = \"test\"\nversion = {version}\n[objective]\nmax_queue_wait_ms = {wait}\n\
         [[groups]]\nname = \"all\"\nweight = 1\n\
         [[services]]\nname = \"books\"\nslots = 4\nconnections = 10\n\
         [[kinds]]\nname = \"read\"\nservice = \"books\"\nmethod = \"GET\"\npath_prefix = \"/books\"\nimportance = 1\n"
    );
    Bundle { parent, ..bundle_from_toml(&text).unwrap() }
}

/// Signs `bundle` with the keys of the first two operators.
pub fn signed(bundle: Bundle) -> SignedBundle {
    SignedBundle::signed_by(bundle, &keys()[..2])
}
