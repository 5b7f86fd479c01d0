chestnutroad config check testdata/input/base.toml testdata/input/north.toml
chestnutroad config check --json testdata/input/base.toml testdata/input/north.toml
chestnutroad config check testdata/input/base.toml testdata/input/faulty.toml
chestnutroad config check --json testdata/input/base.toml testdata/input/faulty.toml
chestnutroad config check testdata/input/base.toml testdata/input/none.toml
