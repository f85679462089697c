//! Fills in the template of the deploy file, as far as this template needs it: values, `|json` and sections.

use std::collections::BTreeMap;

/// Values by path, as JSON text; lists and tables are not needed beyond single entries.
pub type Fields = BTreeMap<String, String>;

/// Renders a template; `entry` is the value that `{{.}}` stands for.
pub fn render(template: &str, fields: &Fields, entry: Option<&str>) -> String {
    let (mut rest, mut text) = (template, String::new());
    while let Some(start) = rest.find("{{") {
        text.push_str(&rest[..start]);
        let end = start + rest[start..].find("}}").expect("a placeholder has no end");
        let tag = &rest[start + 2..end];
        rest = &rest[end + 2..];
        if let Some(name) = tag.strip_prefix(['#', '^']) {
            let close = format!("{{{{/{name}}}}}");
            let length = rest.find(&close).expect("a section has no end");
            let (inner, after) = (&rest[..length], &rest[length + close.len()..]);
            rest = after;
            let value =
                fields.get(name).filter(|value| !matches!(value.as_str(), "false" | "null"));
            match (tag.starts_with('#'), value) {
                (true, Some(value)) => text.push_str(&render(inner, fields, Some(value))),
                (false, None) => text.push_str(&render(inner, fields, None)),
                _ => {}
            }
            continue;
        }
        let (name, is_json) = tag.strip_suffix("|json").map_or((tag, false), |name| (name, true));
        let value = match name {
            "." => entry.unwrap_or(""),
            _ => fields.get(name).map_or("", String::as_str),
        };
        text.push_str(if is_json { value } else { value.trim_matches('"') });
    }
    text.push_str(rest);
    text
}
