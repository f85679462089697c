//! Macros for common derives and for naming test cases.

/// Adds the derives of a small `Copy` key or number.
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

/// Adds the derives of an owned value that is compared, stored and sent.
#[macro_export]
macro_rules! value_types {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
            $item
        )*
    };
}

/// Adds the derives of a typed message that stays inside one process.
#[macro_export]
macro_rules! message_types {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, PartialEq)]
            $item
        )*
    };
}

/// Defines names: cheap to clone, ordered pieces of text with a type of their own.
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
                /// Wraps the text of a name.
                pub fn new(text: &str) -> Self {
                    Self(text.into())
                }

                /// The text of the name.
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

/// Names each case of a data-driven test and passes its arguments to one check function.
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
