//! Signatures and the m-of-n sign-off.

use borsh::{BorshDeserialize, BorshSerialize};
use ed25519_dalek::{Signer, SigningKey, VerifyingKey};

use crate::error::BundleError;
use crate::model::{Bundle, Stamp};

/// Maximum size of a signed bundle, in bytes.
pub const MAX_SIGNED_BUNDLE_BYTES: usize = 4 << 20;
/// Maximum number of signatures of a bundle that are checked. Further ones don't count.
pub const MAX_SIGNATURES: usize = 32;

/// Prefix of each signed message, which separates it from other uses of the keys.
const SIGNING_DOMAIN: &[u8] = b"olivegate bundle v1";

/// An operator's signature over a version number and digest.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Signature {
    /// Ed25519 public key of the operator.
    pub key: [u8; 32],
    /// Ed25519 signature.
    pub bytes: [u8; 64],
}

/// A bundle with its signatures.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct SignedBundle {
    /// Bundle that is signed.
    pub bundle: Bundle,
    /// Operators' signatures over its stamp.
    pub signatures: Vec<Signature>,
}

/// Who must sign a bundle: `required` of `keys`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SignOff {
    /// Public keys of the operators.
    pub keys: Vec<[u8; 32]>,
    /// Number of distinct operators who must sign.
    pub required: usize,
}

/// An operator's key pair.
pub struct SigningKeyPair(SigningKey);

fn signed_message(stamp: &Stamp) -> Vec<u8> {
    let mut message = SIGNING_DOMAIN.to_vec();
    message.extend_from_slice(&stamp.version.to_be_bytes());
    message.extend_from_slice(&stamp.digest.0);
    message
}

impl SigningKeyPair {
    /// Derives the key pair from a 32-byte secret.
    pub fn from_secret(secret: [u8; 32]) -> Self {
        SigningKeyPair(SigningKey::from_bytes(&secret))
    }

    /// Derives the key pair from a secret of 64 hexadecimal digits.
    pub fn from_hex(text: &str) -> Result<Self, BundleError> {
        let bytes = hex::decode(text.trim()).map_err(|_| BundleError::InvalidKey)?;
        let secret: [u8; 32] = bytes.try_into().map_err(|_| BundleError::InvalidKey)?;
        Ok(Self::from_secret(secret))
    }

    /// The public key.
    pub fn public_key(&self) -> [u8; 32] {
        self.0.verifying_key().to_bytes()
    }

    /// Signs a bundle's stamp.
    pub fn sign(&self, bundle: &Bundle) -> Signature {
        let signature = self.0.sign(&signed_message(&bundle.stamp()));
        Signature { key: self.public_key(), bytes: signature.to_bytes() }
    }
}

impl SignedBundle {
    /// Signs `bundle` with each of `keys`.
    pub fn signed_by(bundle: Bundle, keys: &[SigningKeyPair]) -> Self {
        let signatures = keys.iter().map(|key| key.sign(&bundle)).collect();
        SignedBundle { bundle, signatures }
    }

    /// Encodes the binary form.
    pub fn to_bytes(&self) -> Vec<u8> {
        borsh::to_vec(self).unwrap_or_default()
    }

    /// Decodes the binary form. Input over the maximum size is refused before it is decoded.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, BundleError> {
        if bytes.len() > MAX_SIGNED_BUNDLE_BYTES {
            return Err(BundleError::TooLarge { size: bytes.len(), limit: MAX_SIGNED_BUNDLE_BYTES });
        }
        borsh::from_slice(bytes).map_err(|_| BundleError::Malformed)
    }
}

impl SignOff {
    /// Checks that enough distinct operators signed `stamp`.
    pub fn verify(&self, stamp: &Stamp, signatures: &[Signature]) -> Result<(), BundleError> {
        let message = signed_message(stamp);
        let mut signers: Vec<[u8; 32]> = Vec::new();
        for signature in signatures.iter().take(MAX_SIGNATURES) {
            let is_new_signer = self.keys.contains(&signature.key) && !signers.contains(&signature.key);
            if is_new_signer && is_valid(signature, &message) {
                signers.push(signature.key);
            }
        }
        if signers.len() < self.required {
            return Err(BundleError::NotSignedOff { valid: signers.len(), required: self.required });
        }
        Ok(())
    }
}

fn is_valid(signature: &Signature, message: &[u8]) -> bool {
    let Ok(key) = VerifyingKey::from_bytes(&signature.key) else {
        return false;
    };
    let bytes = ed25519_dalek::Signature::from_bytes(&signature.bytes);
    key.verify_strict(message, &bytes).is_ok()
}
