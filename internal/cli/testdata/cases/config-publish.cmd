chestnutroad config publish --log 127.0.0.1:1 testdata/input/base.toml testdata/input/north.toml
chestnutroad config publish --log 127.0.0.1:1 --parent 3 testdata/input/base.toml testdata/input/north.toml
chestnutroad config publish --json --log 127.0.0.1:1 --parent 3 testdata/input/base.toml testdata/input/north.toml
chestnutroad config publish --log 127.0.0.1:2 testdata/input/base.toml
chestnutroad config publish --log 127.0.0.1:3 testdata/input/base.toml
chestnutroad config publish --log 127.0.0.1:1 testdata/input/base.toml testdata/input/faulty.toml
