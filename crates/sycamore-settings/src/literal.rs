//! Values of a settings file that are taken as they stand, in lines of the form `KEY := TEXT`: names of
//! somebody else's may hold quotes, backslashes and signs that begin comments elsewhere.

use std::collections::BTreeMap;

/// Sign between a key and a text that is taken as it stands.
const SIGN: &str = ":=";
/// Start of the values that stand for such texts while the file is parsed.
const MARK: &str = "literal-";

/// Texts of a settings file that are taken as they stand, by the value that stands for each.
#[derive(Debug, Default)]
pub(crate) struct Literals(BTreeMap<String, String>);

impl Literals {
    /// Returns the texts of `file`, and the file with a value in place of each.
    pub(crate) fn extract(file: &str) -> (Self, String) {
        let mut mark = MARK.to_owned();
        while file.contains(&mark) {
            mark.push_str(MARK);
        }
        let mut literals = Self::default();
        let lines = file.split_inclusive('\n').map(|line| match split_literal(line) {
            Some((key, text)) => {
                let value = format!("{mark}{}", literals.0.len());
                let line = format!("{key} = {value}\n");
                literals.0.insert(value, text.to_owned());
                line
            }
            None => line.to_owned(),
        });
        let file = lines.collect();
        (literals, file)
    }

    /// Returns the text that `value` stands for, or `value` itself.
    pub(crate) fn resolve(&self, value: String) -> String {
        self.0.get(&value).cloned().unwrap_or(value)
    }
}

/// Returns the key and the text of a line, without the spaces around the text.
fn split_literal(line: &str) -> Option<(&str, &str)> {
    let (key, text) = line.split_once(SIGN)?;
    let key = key.trim();
    let is_key = !key.is_empty() && key.chars().all(|c| c.is_ascii_alphanumeric() || c == '_');
    is_key.then(|| (key, text.trim()))
}
