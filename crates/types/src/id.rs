//! Names and identifiers.

use std::fmt;
use std::sync::Arc;

use borsh::io::{Read, Result as IoResult, Write};
use borsh::{BorshDeserialize, BorshSerialize};

/// A text that can't be used as a name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidName;

impl fmt::Display for InvalidName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a name has letters, digits, '-', '_' or '.'")
    }
}

impl std::error::Error for InvalidName {}

/// True if `text` is a name: one or more letters, digits, `-`, `_` and `.`. A name can be sent in header fields
/// and paths, and written in log lines, as it is.
pub fn is_name(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
}

macro_rules! name_type {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps a name without validating it.
            pub fn new(name: impl AsRef<str>) -> Self {
                Self(Arc::from(name.as_ref()))
            }

            /// Checks a name that comes from outside the process.
            pub fn parse(name: impl AsRef<str>) -> Result<Self, InvalidName> {
                if is_name(name.as_ref()) { Ok(Self::new(name)) } else { Err(InvalidName) }
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl BorshSerialize for $name {
            fn serialize<W: Write>(&self, writer: &mut W) -> IoResult<()> {
                self.as_str().serialize(writer)
            }
        }

        impl BorshDeserialize for $name {
            fn deserialize_reader<R: Read>(reader: &mut R) -> IoResult<Self> {
                Ok(Self(Arc::from(String::deserialize_reader(reader)?)))
            }
        }
    };
}

name_type!(
    /// Name of a node, unique in its deployment.
    NodeName
);
name_type!(
    /// Name of a zone.
    ZoneName
);
name_type!(
    /// Name of a service in the call graph.
    ServiceName
);
name_type!(
    /// Name of one back-end instance of a service, unique in its deployment.
    InstanceName
);
name_type!(
    /// Name of a group of callers.
    GroupName
);
name_type!(
    /// Name of a tenant: a set of callers that share API keys and a quota.
    TenantName
);
name_type!(
    /// Name of a kind of request.
    KindName
);

/// Identifies a root request in its whole call chain.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl std::str::FromStr for RequestId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(RequestId)
    }
}

/// A BLAKE3 digest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, BorshSerialize, BorshDeserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Digest(*blake3::hash(bytes).as_bytes())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(formatter, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}
