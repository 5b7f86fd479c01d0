chestnutroad config check testdata/input/base.toml testdata/input/north.toml
chestnutroad config check --json testdata/input/base.toml testdata/input/north.toml
chestnutroad config check testdata/input/base.toml testdata/input/faulty.toml
chestnutroad config check --json testdata/input/base.toml testdata/input/faulty.toml
chestnutroad config check testdata/input/base.toml testdata/input/none.toml
chestnutroad config check --host testdata/input/host.toml testdata/input/base.toml testdata/input/north.toml
chestnutroad config check --host testdata/input/host-elsewhere.toml --host testdata/input/host-faulty.toml testdata/input/base.toml
chestnutroad config check --host testdata/input/host-faulty.toml testdata/input/base.toml testdata/input/faulty.toml
