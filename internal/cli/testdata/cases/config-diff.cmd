chestnutroad config diff --before testdata/input/base.toml --after testdata/input/base.toml
chestnutroad config diff --before testdata/input/base.toml testdata/input/north.toml --after testdata/input/more.toml
chestnutroad config diff --json --before testdata/input/base.toml testdata/input/north.toml --after testdata/input/base.toml
chestnutroad config diff --before testdata/input/base.toml testdata/input/faulty.toml --after testdata/input/base.toml
