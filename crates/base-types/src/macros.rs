//! Macros that add common derives, define name types and declare test cases.

/// Adds the derives of small `Copy` types: keys, numbers and enums without owned data.
#[macro_export]
macro_rules! key_types {
    ($($item:item)*) => {
        $(
            #[derive(
                Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash,
                ::serde::Serialize, ::serde::Deserialize,
            )]
            $item
        )*
    };
}

/// Adds the derives of types with owned data that are compared, stored and serialized.
#[macro_export]
macro_rules! value_types {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
            $item
        )*
    };
}

/// Adds the derives of types that are passed within a process and never serialized.
#[macro_export]
macro_rules! message_types {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, PartialEq)]
            $item
        )*
    };
}

/// Defines string newtypes that are ordered, hashable and serialized as plain strings.
#[macro_export]
macro_rules! name_types {
    ($($(#[$meta:meta])* $name:ident;)*) => {
        $(
            $(#[$meta])*
            #[derive(
                Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash,
                ::serde::Serialize, ::serde::Deserialize,
            )]
            #[serde(transparent)]
            pub struct $name(Box<str>);

            impl $name {
                /// Makes a name from its text, without validation.
                pub fn new(text: &str) -> Self {
                    Self(text.into())
                }

                /// Text of the name, as it was given.
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl ::std::fmt::Display for $name {
                fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                    f.write_str(&self.0)
                }
            }
        )*
    };
}

/// Declares one `#[test]` per case, which calls the check function with the case's arguments.
#[macro_export]
macro_rules! test_cases {
    ($check:ident: $($name:ident($($argument:expr),* $(,)?);)*) => {
        $(
            #[test]
            fn $name() {
                $check($($argument),*);
            }
        )*
    };
}
