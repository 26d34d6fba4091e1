//! All errors in a file are reported at once.

use olivegate_checked::TableReader;

fn field_errors(text: &str, read: impl FnOnce(&mut TableReader)) -> Vec<(String, String)> {
    let mut reader = TableReader::parse(text).unwrap();
    read(&mut reader);
    let errors = reader.finish().unwrap_err().0;
    errors.into_iter().map(|error| (error.field, error.reason)).collect()
}

#[test]
fn all_errors_are_reported_with_their_paths() {
    let text = "port = 70000\nname = \"a b\"\n[deep]\ntimes = [1]\nextra = 1\n[[rows]]\nsize = \"x\"\n";
    let found = field_errors(text, |reader| {
        reader.integer("port", 1..=65_535);
        reader.name("name");
        reader.text("absent");
        reader.section("deep", |deep| deep.texts("times"));
        reader.sections("rows", |row| row.integer("size", 1..=9));
    });
    let names: Vec<&str> = found.iter().map(|(field, _)| field.as_str()).collect();
    assert_eq!(names, ["port", "name", "absent", "deep.times", "deep.extra", "rows[0].size"]);
    assert_eq!(found[4].1, "unknown field");
}

#[test]
fn a_syntax_error_is_a_single_error() {
    let errors = TableReader::parse("a = = 1").unwrap_err();
    assert_eq!(errors.0.len(), 1);
    assert_eq!(errors.0[0].field, "(file)");
}

#[test]
fn defaults_fill_absent_optional_fields() {
    let mut reader = TableReader::parse("").unwrap();
    assert_eq!(reader.integer_or("wait", 5, 1..=9), 5);
    assert!(reader.boolean_or("on", true));
    assert_eq!(reader.finish(), Ok(()));
}
