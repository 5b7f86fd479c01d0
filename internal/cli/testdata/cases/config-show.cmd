chestnutroad config show --stated --site north testdata/input/base.toml testdata/input/north.toml
chestnutroad config show --stated --json --site north testdata/input/base.toml
chestnutroad config show --site south testdata/input/base.toml
chestnutroad config show --site north testdata/input/base.toml testdata/input/faulty.toml
