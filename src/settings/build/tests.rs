use proptest::prelude::*;

use super::*;

/// Number of routes in one file of a large document.
const ROUTES_PER_FILE: usize = 33;

fn file(name: &str, text: &str) -> File {
    File {
        name: Name::new(name),
        text: text.to_owned(),
    }
}

/// Returns a document with `routes` routes in files of `ROUTES_PER_FILE`.
fn large_document(routes: usize, probes: u32) -> Document {
    let route = |i: usize| {
        format!(
            "[routes.r-{i}]\nkind = \"service\"\nhost = \"h{}.example\"\npath = \"/p{i}/\"\n\
             service = \"pool\"\ntier = \"usual\"\n",
            i / 4
        )
    };
    let indexes: Vec<usize> = (0..routes).collect();
    let chunks = indexes.chunks(ROUTES_PER_FILE).enumerate();
    let mut files: Vec<File> = chunks
        .map(|(i, chunk)| {
            let text: String = chunk.iter().copied().map(route).collect();
            file(&format!("routes-{i:03}.toml"), &text)
        })
        .collect();
    files.push(file(
        "tiers.toml",
        "tiers.usual.order = 0\ntiers.usual.deadline = \"1s\"",
    ));
    files.push(file(
        "limits.toml",
        &format!("limits.discovered = true\nlimits.probes = {probes}"),
    ));
    Document::new(files)
}

/// Builds settings to the end. Returns them with the number of steps and of decoded
/// files.
fn build(
    document: Document,
    before: BuiltSettings,
) -> (Result<BuiltSettings, SettingsError>, usize, usize) {
    let mut build = SettingsBuild::new(document, before);
    for steps in 1.. {
        if let Some(built) = build.step() {
            return (built, steps, build.decoded_files());
        }
    }
    unreachable!("the steps have an end");
}

fn built(document: Document, before: BuiltSettings) -> BuiltSettings {
    build(document, before).0.expect("the settings are valid")
}

// Issue 31: a configuration with thousands of routes was read in one go, in which an
// entry did nothing else for over a second.
#[test]
fn a_step_decodes_at_most_one_file() {
    let document = large_document(4_200, 2);
    let files = document.files.len();
    let mut build = SettingsBuild::new(document, BuiltSettings::default());
    let mut steps = 0;
    let built = loop {
        let before = build.decoded_files();
        let built = build.step();
        steps += 1;
        assert!(build.decoded_files() <= before + 1);
        if let Some(built) = built {
            break built.expect("the settings are valid");
        }
    };
    assert!(steps > files + 4_200 / (ROUTES_PER_STEP + ROUTES_PER_FILE));
    assert_eq!(built.settings.routes.len(), 4_200);
}

// Issue 31: a new limit made an entry decode and check all routes again.
#[test]
fn a_changed_limit_decodes_one_file_and_keeps_the_routes() {
    let before = built(large_document(4_200, 2), BuiltSettings::default());
    let (after, steps, decoded_files) = build(large_document(4_200, 3), before.clone());
    let after = after.expect("the settings are valid");
    assert_eq!(after.settings.limits.probes, 3);
    assert_eq!(decoded_files, 1);
    assert!(Rc::ptr_eq(&before.settings.routes, &after.settings.routes));
    assert!(Rc::ptr_eq(&before.settings.tiers, &after.settings.tiers));
    assert_eq!(steps, 4);
}

#[test]
fn a_changed_route_keeps_the_others() {
    let before = built(large_document(100, 2), BuiltSettings::default());
    let mut document = large_document(100, 2);
    let changed = document
        .files
        .iter_mut()
        .find(|f| &*f.name == "routes-001.toml");
    let changed = changed.expect("the file exists");
    changed.text = changed.text.replace("/p40/", "/other/");
    let (after, _, decoded_files) = build(document, before.clone());
    let after = after.expect("the settings are valid");
    assert_eq!(decoded_files, 1);
    assert_eq!(&*after.settings.routes["r-40"].path, "/other/");
    let (old, new) = (&before.settings.routes, &after.settings.routes);
    assert!(Rc::ptr_eq(&old["r-0"], &new["r-0"]));
    assert!(new.find(Some("h10.example"), "/p40/x").is_none());
}

#[test]
fn a_tier_that_routes_refer_to_cannot_be_removed() {
    let before = built(large_document(100, 2), BuiltSettings::default());
    let mut document = large_document(100, 2);
    let tiers = document.files.iter_mut().find(|f| &*f.name == "tiers.toml");
    let tiers = tiers.expect("the file exists");
    tiers.text = tiers.text.replace("usual", "other");
    let (after, ..) = build(document, before);
    let Err(SettingsError::Invalid(problems)) = after else {
        panic!("the settings are accepted");
    };
    assert_eq!(problems.len(), 100);
}

/// Entries that are valid beside those of `BASE`.
const VALID: [&str; 10] = [
    "[organisations.small]\nkeys = []\ntier = \"usual\"\n",
    "[organisations.large]\nkeys = []\ntier = \"low\"\n",
    "[services.pool]\nkind = \"model\"\n",
    "[services.other]\nkind = \"service\"\n",
    "[routes.a]\nkind = \"service\"\npath = \"/a/\"\nservice = \"pool\"\n",
    "[routes.b]\nkind = \"service\"\npath = \"/b\"\nservice = \"pool\"\ntier = \"low\"\n",
    "[routes.c]\nkind = \"model\"\npath = \"/c/\"\n",
    "[routes.d]\nkind = \"model\"\nhost = \"x\"\npath = \"/a/\"\n",
    "[tiers.third]\norder = 2\ndeadline = \"1s\"\n",
    "[limits]\nprobes = 3\n",
];

/// Entries that are invalid by themselves or beside some others.
const DUBIOUS: [&str; 9] = [
    "[tiers.last]\norder = 0\ndeadline = \"2s\"\n",
    "[tiers.usual]\nobjective = 0.9\n",
    "[organisations.large]\nkeys = []\ntier = \"low\"\ntiers = { a = \"usual\" }\n",
    "[organisations.Small]\nkeys = []\ntier = \"usual\"\n",
    "[routes.e]\nkind = \"model\"\npath = \"/a/\"\n",
    "[routes.f]\nkind = \"model\"\nhost = \"x\"\npath = \"/d/\"\ncolour = 1\n",
    "[routes.g]\nkind = \"model\"\ntier = \"third\"\npath = \"/g\"\n",
    "[routes]\nh = [\"model\"]\n",
    "[limits]\nprobes = 0\n",
];

/// What most documents hold.
const BASE: &str = "[tiers.usual]\norder = 0\ndeadline = \"1s\"\n\
    [tiers.low]\norder = 1\ndeadline = \"2s\"\n";

fn random_document() -> impl Strategy<Value = Document> {
    let entry = prop_oneof![
        12 => prop::sample::select(VALID.to_vec()),
        1 => prop::sample::select(DUBIOUS.to_vec()),
    ];
    let text = prop::collection::vec(entry, 0..3).prop_map(|entries| entries.concat());
    let texts = prop::collection::btree_map(0u8..5, text, 0..4);
    let base = prop_oneof![
        8 => Just(format!("{BASE}[limits]\ndiscovered = true\n")),
        2 => Just(BASE.to_owned()),
    ];
    (base, texts).prop_map(|(base, texts)| {
        let files = texts
            .iter()
            .map(|(i, text)| file(&format!("{i}.toml"), text));
        let files = files.chain([file("base.toml", &base)]);
        Document::new(files.collect())
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn building_after_any_version_equals_the_check_of_the_whole(
        documents in prop::collection::vec(random_document(), 1..4),
    ) {
        let mut before = BuiltSettings::default();
        for document in documents {
            let whole = Settings::new(&document);
            let built = build(document, before.clone()).0;
            prop_assert_eq!(
                format!("{:?}", built.as_ref().map(|b| &*b.settings)),
                format!("{:?}", whole.as_ref())
            );
            before = built.unwrap_or(before);
        }
    }
}
