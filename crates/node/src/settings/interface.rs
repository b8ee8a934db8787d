//! Settings of a process that implements one of two interfaces.

use super::{Fields, Settings};

/// Settings for the interface selected by the field `interface`.
///
/// ```
/// use node::settings::{Fields, Interface, Settings, parse};
///
/// #[derive(Debug, PartialEq)]
/// struct Port(u16);
///
/// impl Settings for Port {
///     fn read(fields: &mut Fields<'_>) -> Option<Self> {
///         fields.number("port", 1..=9999, None).map(Self)
///     }
/// }
///
/// let settings: Interface<Port, Port> = parse(r#"{"interface": "platform", "port": 80}"#).unwrap();
/// assert_eq!(settings, Interface::Platform(Port(80)));
/// ```
#[derive(Clone, Debug, PartialEq)]
pub enum Interface<O, P> {
    /// carobport's own interface: `own`, or no field `interface`.
    Own(O),
    /// The interface of the users' platform: `platform`.
    Platform(P),
}

impl<O: Settings, P: Settings> Settings for Interface<O, P> {
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let allowed = "\"own\" or \"platform\"";
        let interface: String = fields.optional("interface", allowed, "own".into())?;
        match interface.as_str() {
            "own" => O::read(fields).map(Self::Own),
            "platform" => P::read(fields).map(Self::Platform),
            _ => {
                fields.add_finding("interface", allowed);
                None
            }
        }
    }
}
