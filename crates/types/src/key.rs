//! The shared key of a deployment, which authenticates request contexts and control messages.

/// Length of an authentication tag, in bytes.
pub const TAG_LENGTH: usize = 16;

/// Secret shared by the nodes of one deployment.
///
/// It proves that a context header, datagram or control frame was created by a node of the same deployment.
/// It provides neither encryption nor protection against replays.
#[derive(Clone)]
pub struct DeploymentKey([u8; 32]);

impl DeploymentKey {
    /// Derives the key from the secret in the settings.
    pub fn from_secret(secret: &str) -> Self {
        DeploymentKey(blake3::derive_key("olivegate deployment key v1", secret.as_bytes()))
    }

    /// The authentication tag of `bytes` under this key.
    pub fn tag(&self, bytes: &[u8]) -> [u8; TAG_LENGTH] {
        let hash = blake3::keyed_hash(&self.0, bytes);
        let mut tag = [0; TAG_LENGTH];
        tag.copy_from_slice(&hash.as_bytes()[..TAG_LENGTH]);
        tag
    }

    /// Appends the tag of `bytes` to `bytes`.
    pub fn seal(&self, mut bytes: Vec<u8>) -> Vec<u8> {
        let tag = self.tag(&bytes);
        bytes.extend_from_slice(&tag);
        bytes
    }

    /// The content before the tag; `None` if the tag is missing or wrong.
    pub fn open<'a>(&self, sealed: &'a [u8]) -> Option<&'a [u8]> {
        let split = sealed.len().checked_sub(TAG_LENGTH)?;
        let (content, tag) = sealed.split_at(split);
        let expected = blake3::keyed_hash(&self.0, content);
        let mut difference = 0;
        for (left, right) in tag.iter().zip(expected.as_bytes()) {
            difference |= left ^ right;
        }
        (difference == 0).then_some(content)
    }
}

impl std::fmt::Debug for DeploymentKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("DeploymentKey(..)")
    }
}
